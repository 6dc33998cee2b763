Feature: Logs are short sentences with the prefix of their part

  Scenario: A line has its time, level, part and sentence
    Given logs at level INFO
    When part "slots" says "granted 3 slots"
    Then one line ends with "INFO slots: granted 3 slots"

  Scenario: A record below the level is not written
    Given logs at level WARNING
    When part "slots" says "granted 3 slots"
    Then no line is written

  Scenario: A JSON line has the same in fields
    Given logs at level INFO as JSON
    When part "slots" says "granted 3 slots"
    Then the JSON line has part "slots", level "INFO" and message "granted 3 slots"

  Scenario Outline: A secret is hidden wherever it turns up
    Given logs at level INFO that hide "hush-hush"
    When part "api" says "<said>"
    Then one line ends with "<shown>"

    Examples:
      | said                          | shown                      |
      | token hush-hush refused       | token *** refused          |
      | Authorization: Bearer abc.def | Authorization: Bearer ***  |

  Scenario: A line break in a client's text does not forge a line
    Given logs at level INFO
    When part "api" says a text with a line break
    Then 1 line is written

  Scenario: An unhandled error in a Deferred appears with its traceback
    Given logs at level INFO
    When a Deferred fails and nobody handles it
    Then a line contains "ERROR twisted: RuntimeError: lost answer"
    And a line contains "Traceback"
