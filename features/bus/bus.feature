Feature: The peer bus

  Scenario: Messages of one tick reach the peer in order and in one frame
    Given peer buses "a" and "b" on real sockets
    When bus "a" sends notes 1 to 50 to "b" within one tick
    Then bus "b" hands over notes 1 to 50 in order from "a"
    And bus "a" sent 1 frame

  Scenario Outline: A frame that can't be read is counted and the bus goes on
    Given peer buses "a" and "b" on real sockets
    When a stranger sends <frame> to bus "b"
    And bus "a" sends notes 1 to 3 to "b" within one tick
    Then bus "b" hands over notes 1 to 3 in order from "a"
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
      | a note with a wrong field         | unknown_kind  |

  Scenario: A handler that raises does not stop the messages behind it
    Given peer buses "a" and "b" on real sockets
    When the handler of bus "b" raises on note 2
    And bus "a" sends notes 1 to 3 to "b" within one tick
    Then bus "b" hands over notes 1 and 3 from "a"

  Scenario: A full queue drops and counts instead of waiting
    Given peer buses "a" and "b" on real sockets
    When bus "a" sends 5000 notes to an address where nobody listens
    Then bus "a" has dropped 904 notes as full
    And after 2 s bus "a" has dropped 4096 notes as unreachable

  Scenario: A note sent before the peer listens arrives when it does
    Given peer bus "a" on real sockets
    When bus "a" sends notes 1 to 2 to "b" before it listens
    And peer bus "b" starts to listen
    Then bus "b" hands over notes 1 to 2 in order from "a"

  Scenario: A peer port that is taken is told as such
    Given peer buses "a" and "b" on real sockets
    When another bus starts at the address of "a"
    Then it says that it can't listen
