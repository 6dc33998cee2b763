Feature: A worker restarts while starts and stops are in transit

  Background:
    Given an allocator with 2 workers and an unconfirmed job of 1 task
    When worker 0 reports no run
    And worker 1 reports no run
    And the task is placed

  Scenario: A start that a restarted worker may receive later is not repeated elsewhere
    # The start order waited at an agent while its worker restarted. It was carried
    # out beside the next one. Seed 14052.
    When its worker reports no run after a restart
    Then the task is not started

  Scenario: A start that a restarted worker has accepted is not repeated elsewhere
    # The report after the restart was older than the start. Seed 14042.
    When its start is accepted
    And its worker reports no run after a restart, to a poll before the start
    Then the task is not started

  Scenario: A start that a worker stopped before its restart is stopped again
    # The next incarnation did not know of the stop.
    When its start is not answered
    And its stop is accepted
    And its worker reports no run after a restart
    Then its run is stopped
    And the task is not started

  Scenario: A run that a worker lost in its restart is started again
    When its start is accepted
    And its worker reports its run
    And its worker reports no run after a restart, to a poll before the start
    Then run 2 of the task is started

  Scenario: The clock of an earlier incarnation is not taken for that of the present one
    # An accepted start of the earlier one arrived after the first report of the present
    # one. Leases were then granted for longer than the allocator had counted.
    When its worker reports no run after a restart
    And its start is accepted at 400000 ms of the earlier clock
    Then the clock of the worker is that of its report
