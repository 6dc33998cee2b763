Feature: Processes of the platform program as worker agents

  Background:
    Given 4 processes with small links and 6 workers

  Scenario: Jobs are served, and starts follow 700 ms after the allocator is killed
    When 20 jobs of 2 tasks of 50 ms are sent to the processes in turn
    Then every answer has status 200
    And no process calls the workers for itself
    When the allocating process is killed under load
    Then the workers received a start within 700 ms
    And the workers report no violated guarantee

  Scenario: Leases and time-outs do not follow the time of day
    # The time of day jumped 4 s ahead on all machines: every lease appeared to
    # have lapsed.
    Then the clock of the program's event loop is the time since the start of the machine
    And its timers run by that clock

  Scenario: Orders that an agent carries out after a pause start nothing twice
    # What has arrived at a stopped process is carried out when it is resumed.
    When a process other than the allocating one is frozen under load for 2 s
    Then the workers report no violated guarantee
    And exactly one process logs that it allocates

  Scenario: A start that waited in a frozen owner is not carried out by a restarted worker
    # The worker had forgotten the stop of that start, and ran the task beside its
    # next run. Review case 2.
    When the workers restart while starts wait in a frozen owner, 3 times
    Then the workers report no violated guarantee
