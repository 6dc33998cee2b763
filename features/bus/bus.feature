Feature: The peer bus

  Scenario: Messages of one tick reach the peer in order and in one frame
    Given peer buses "a" and "b" on real sockets
    When bus "a" sends messages 1 to 50 to "b" within one tick
    Then bus "b" delivers messages 1 to 50 in order from "a"
    And bus "a" sent 1 frame

  Scenario Outline: A malformed frame is counted and later frames are delivered
    Given peer buses "a" and "b" on real sockets
    When an unknown peer sends <frame> to bus "b"
    And bus "a" sends messages 1 to 3 to "b" within one tick
    Then bus "b" delivers messages 1 to 3 in order from "a"
    And bus "b" counts 1 <reason>

    Examples:
      | frame                             | reason        |
      | no bytes                          | garbage       |
      | text                              | garbage       |
      | a frame with a broken body        | garbage       |
      | a frame with deeply nested arrays | garbage       |
      | a frame of the next version       | other_version |
      | a frame over the size limit       | too_large     |
      | a message of an unknown kind      | unknown_kind  |
      | a message with a wrong field         | unknown_kind  |

  Scenario: A handler that raises does not stop later messages
    Given peer buses "a" and "b" on real sockets
    When the handler of bus "b" raises on message 2
    And bus "a" sends messages 1 to 3 to "b" within one tick
    Then bus "b" delivers messages 1 and 3 from "a"

  Scenario: A full queue drops and counts messages without blocking
    Given peer buses "a" and "b" on real sockets
    When bus "a" sends 5000 messages to an address without a listener
    Then bus "a" has dropped 904 messages because the queue is full
    And after 2 s bus "a" has dropped 4096 messages because the peer is unreachable

  Scenario: A message sent before the peer listens is delivered once it does
    Given peer bus "a" on real sockets
    When bus "a" sends messages 1 to 2 to "b" before it listens
    And peer bus "b" starts to listen
    Then bus "b" delivers messages 1 to 2 in order from "a"

  Scenario: A peer address in use is reported as a listen error
    Given peer buses "a" and "b" on real sockets
    When another bus starts at the address of "a"
    Then it fails to listen with "Address in use"
