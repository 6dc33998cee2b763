Feature: Classes, teams and jobs share the slots

  Scenario: A flood of urgent jobs leaves every class its share
    Given a dispatcher with 1 upstreams of 10 slots
    When team "office" queues 3 low jobs "digest" of 10 tasks
    And the tasks run for 0.05 s
    And team "office" queues 3 normal jobs "render" of 10 tasks
    And team "office" queues 10 urgent jobs "notice" of 50 tasks
    And the tasks run for 0.3 s
    Then the running tasks by class are 5, 3, 2

  Scenario: Unused shares are lent at once
    Given a dispatcher with 1 upstreams of 10 slots
    When team "office" queues 3 low jobs "digest" of 10 tasks
    Then the running tasks by class are 0, 0, 10

  Scenario: The reserve keeps slots free for urgent tasks
    Given a dispatcher with 10 slots and a reserve of 0.2
    When team "office" queues 3 low jobs "digest" of 10 tasks
    Then the running tasks by class are 0, 0, 8
    When team "office" queues 1 urgent jobs "notice" of 2 tasks
    Then the running tasks by class are 2, 0, 8

  Scenario: Teams are charged for the measured run times of their tasks
    Given a dispatcher with 1 upstreams of 2 slots
    And tasks of job "roast" take 400 ms
    And tasks of job "check" take 100 ms
    When team "slow" queues 1 normal jobs "roast" of 300 tasks
    And team "quick" queues 1 normal jobs "check" of 300 tasks
    And the tasks run for 20 s
    Then team "quick" has started 3.4 to 4.6 times as many as "slow"

  Scenario: A team gains no credit while it is idle
    Given a dispatcher with 1 upstreams of 2 slots
    When team "early" queues 1 normal jobs "render" of 300 tasks
    And the tasks run for 5 s
    And team "late" queues 1 normal jobs "render" of 300 tasks
    And the tasks run for 5 s
    Then team "early" has started 2.6 to 3.4 times as many as "late"

  Scenario: The job with the fewest running tasks goes next
    Given a dispatcher with 1 upstreams of 6 slots
    When team "office" queues 1 normal jobs "render" of 2 tasks
    And team "office" queues 1 normal jobs "render" of 20 tasks
    And the tasks run for 0.1 s
    And team "office" queues 1 normal jobs "render" of 20 tasks
    And the tasks run for 0.1 s
    Then the starts by job are 2 13 3

  Scenario: A held job is skipped until its hold ends
    Given a dispatcher with 1 upstreams of 2 slots
    When team "office" queues a held job of 3 tasks
    And the tasks run for 0.2 s
    Then 0 tasks have started
    When the hold ends
    And the tasks run for 0.05 s
    Then 2 tasks have started
