Feature: A worker restarts while the outcome of a start is awaited

  Background:
    Given an allocator with 1 workers and a job of 1 task without a known run
    When worker 0 reports no run
    Then the task is started once

  Scenario: A start that is on its way to a worker that has restarted is not repeated
    # The run was taken for one that was lost with the earlier process. The next
    # process of the worker then received both starts. Seed 20025 with agents.
    When worker 0 reports no run after a restart
    Then the task is started once

  Scenario: A start that a worker has accepted after its restart is not repeated
    When worker 0 is polled
    And worker 0 accepts the start
    And worker 0 answers the poll after a restart
    Then the task is started once

  Scenario: A run that was lost with the process of its worker is started again
    When worker 0 accepts the start
    And worker 0 reports no run after a restart
    Then the task is started 2 times

  Scenario: A start that was refused by a worker that has restarted is repeated
    When worker 0 reports no run after a restart
    And worker 0 refuses the start
    Then the task is started 2 times
