Feature: Format and redaction of the logs

  Scenario: A line contains its time, level, part and message
    Given logs at level INFO
    When part "slots" logs "granted 3 slots"
    Then one line ends with "INFO slots: granted 3 slots"

  Scenario: A record below the level is not written
    Given logs at level WARNING
    When part "slots" logs "granted 3 slots"
    Then no line is written

  Scenario: A JSON line contains the same as fields
    Given logs at level INFO as JSON
    When part "slots" logs "granted 3 slots"
    Then the JSON line has part "slots", level "INFO" and message "granted 3 slots"

  Scenario Outline: A secret is redacted anywhere in a line
    Given logs at level INFO that redact "hush-hush"
    When part "api" logs "<logged>"
    Then one line ends with "<written>"

    Examples:
      | logged                        | written                   |
      | token hush-hush refused       | token *** refused         |
      | Authorization: Bearer abc.def | Authorization: Bearer *** |

  Scenario: A line break in a client's text does not forge a log line
    Given logs at level INFO
    When part "api" logs a text with a line break
    Then 1 line is written

  Scenario: An unhandled error in a Deferred is logged with its traceback
    Given logs at level INFO
    When a Deferred fails without an errback
    Then a line contains "ERROR twisted: RuntimeError: lost answer"
    And a line contains "Traceback"
