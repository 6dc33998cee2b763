Feature: Admission control and queue overflow

  Scenario: A job whose expected wait exceeds its deadline is refused on arrival
    Given a dispatcher with 1 upstreams of 2 slots
    When team "office" queues 50 normal jobs "render" of 2 tasks
    And the tasks run for 1 s
    And team "office" submits 2 tasks with a deadline of 500 ms
    Then it is refused as OVERLOADED with a retry hint

  Scenario: A flood of one team causes no refusal for a team within its share
    Given a dispatcher with 1 upstreams of 2 slots
    When team "rival" queues 50 normal jobs "render" of 2 tasks
    And the tasks run for 1 s
    And team "office" submits 2 tasks with a deadline of 500 ms
    Then it is admitted

  Scenario: A team over its quota is refused
    Given a dispatcher with 1 upstreams of 2 slots
    And team "office" may queue 10 tasks
    When team "office" queues 1 normal jobs "render" of 10 tasks
    And team "office" submits 5 tasks with a deadline of 60000 ms
    Then it is refused as OVER_QUOTA with a retry hint

  Scenario: Overflow evicts the newest job of the team with the largest weighted backlog
    Given a dispatcher with 1 slot and a queue bound of 20 tasks
    When team "rival" queues 5 normal jobs "render" of 4 tasks
    And team "office" queues 2 normal jobs "render" of 4 tasks
    Then jobs of "rival" end as OVERLOADED, the newest first
    And the last job waits

  Scenario: A full queue refuses the team that filled it
    Given a dispatcher with 1 slot and a queue bound of 20 tasks
    When team "rival" queues 5 normal jobs "render" of 4 tasks
    And team "rival" submits 4 tasks with a deadline of 60000 ms
    Then it is refused as OVERLOADED with a retry hint

  Scenario: A job whose deadline passes is removed from the queue unstarted
    Given a dispatcher with 1 upstreams of 1 slots
    When team "office" queues 1 normal jobs "render" of 20 tasks
    And team "office" queues a job with a deadline of 30 ms
    And the tasks run for 1 s
    Then the last job has ended as DEADLINE_PASSED and none of its tasks ran
