Feature: The checks of the soak on made-up observations

  Scenario Outline: A process has served a queue unless it had no configuration
    Given a client of a queue got status <status> with the body <body>
    When the same process answers 404 <delay_s> s later
    Then the check reports <violation>

    Examples: No sign of service
      | status | body                          | delay_s | violation            |
      | 503    | {"Reason":"no configuration"} | 1       | no violation         |
      | 404    | {"Reason":"no such queue"}    | 1       | no violation         |
      | 0      | reset                         | 1       | no violation         |

    Examples: Service
      | status | body                          | delay_s | violation            |
      | 200    | {"State":"completed"}         | 1       | "no longer serves c" |
      | 200    | {"Reason":"no configuration"} | 1       | "no longer serves c" |
      | 503    | {"Reason":"overload"}         | 1       | "no longer serves c" |
      | 503    | {"Reason":"no"}               | 1       | "no longer serves c" |
      | 503    | {"State":"completed"}         | 1       | "no longer serves c" |
      | 503    | "no configuration"            | 1       | "no longer serves c" |
      | 503    | no configuration              | 1       | "no longer serves c" |
      | 504    | {"Reason":"no configuration"} | 1       | "no longer serves c" |

    Examples: Service within the time allowed for an earlier configuration
      | status | body                          | delay_s | violation            |
      | 503    | {"Reason":"overload"}         | 0.2     | no violation         |

  Scenario: Service after a refusal without a configuration is service
    Given a client of a queue got status 503 with the body {"Reason":"no configuration"}
    And a client of a queue got status 503 with the body {"Reason":"overload"}
    When the same process answers 404 1 s later
    Then the check reports "no longer serves c"

  Scenario: A refusal without a configuration does not excuse a late one
    Given a client of a queue got status 503 with the body {"Reason":"no configuration"}
    When the same process answers 404 3 s later
    Then the check reports "did not serve c"

  Scenario Outline: A long wait counts unless the connection of the client was disrupted
    # A client used a connection again that had been stalled for good before, and the
    # check took it for undisturbed. Seed 704.
    Given connections that were <fault> from 1 s to 2 s
    When a client on a connection of <opened> s sends a request at <sent> s and waits 10 s
    Then the check reports <found> long wait

    Examples:
      | fault            | opened | sent | found |
      | stalled for good | 0      | 3    | no    |
      | stalled for good | 1.5    | 3    | no    |
      | stalled for good | 2.5    | 3    | a     |
      | delayed          | 0      | 3    | a     |
      | delayed          | 0      | 1.5  | no    |
