Feature: Clients outside the limits

  Each scenario starts a process with small limits, and lets a crowd of clients
  send what the limits exclude. Nothing depends on the speed of the machine.

  Scenario Outline: Memory stays bounded with <count> clients that send <message>
    Given a process of the platform program with 120 MB and 4100 descriptors
    When <count> clients send <message>
    Then the process has kept running
    And its memory has grown by at most 30 MB
    And an ordinary request is answered

    Examples:
      | count | message                          |
      | 60    | a header line without end        |
      | 60    | a trailer without end            |
      | 300   | large chunks, but no end         |
      | 300   | a body with a length, but no end |
      | 20    | chunks of 2 bytes, but no end    |
      | 30    | requests, but reads no answer    |
      | 60    | a request line without end       |
      | 60    | header lines without end         |
      | 60    | a chunk extension without end    |

  Scenario Outline: Descriptors stay bounded with <count> clients that send <message>
    Given a process of the platform program with 120 MB and 500 descriptors
    When <count> clients send <message>
    Then the process has kept running
    And it has at most 300 open descriptors
    And an ordinary request is answered

    Examples:
      | count | message       |
      | 400   | nothing       |
      | 400   | a slow header |

  Scenario Outline: Clients that send <message> are disconnected
    Given a process of the platform program with 120 MB and 4100 descriptors
    When 60 clients send <message>
    Then the process has kept running
    And within 20 s it has at most 40 open descriptors
    And an ordinary request is answered

    Examples:
      | message                     |
      | empty lines                 |
      | line feeds                  |
      | a request, then empty lines |
