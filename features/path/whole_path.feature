Feature: Submissions to a running fleet

  Scenario: A job sent to any instance gets all its answers in order
    Given a running fleet of 2 availability zones
    And the configuration has job "render" for team "office"
    When team "office" submits 20 tasks of 20 ms to every instance
    Then every answer is COMPLETE with 20 answers in order
    And no task started twice

  Scenario: A resubmission to another instance gets the same answer
    Given a running fleet of 2 availability zones
    And the configuration has job "render" for team "office"
    When team "office" submits one id of 5 tasks to every instance twice
    Then every answer is COMPLETE with 5 answers in order
    And all answers are the same
    And no task started twice
