Feature: The decision log is rate-limited and never blocks

  Scenario: A flood of one event is suppressed, counted and reported
    Given a decision log
    When 1000 events of one kind are logged within a second
    Then at most 60 lines are written
    And the next report counts the suppressed lines
    And the counter of that event is 1000

  Scenario: Failed jobs keep their chains in a flood of completed jobs
    Given a decision log
    When 1000 jobs complete and 50 fail within a second
    Then every failed job has a line with its chain

  Scenario: A reader that has stopped loses lines and does not block the writer
    Given a log writer whose reader has stopped
    When 20000 lines are written to it
    Then the writes take less than 5 s
    And when the reader resumes, the next line counts the dropped lines

  Scenario: A periodic call that fails once is repeated
    Given a periodic call that fails the second time
    When 5 periods pass
    Then the call is made 5 times
