Feature: A worker restarts, as the list or its report shows

  Scenario Outline: A run that a restarted worker has accepted is not started again
    # The allocator learned of the restart after the new process had accepted a
    # start, and took the run for one of the old process. Random seed 12.
    Given an allocator with 2 workers of 32 cores
    And jobs "1" of 1 task of 10 cores that run
    When <the restart of the worker of job "1" is seen>
    Then job "1" was started once
    When that worker reports no run
    Then job "1" was started twice

    Examples:
      | the restart of the worker of job "1" is seen                         |
      | the worker of job "1" has restarted by its report, which has the run |
      | the worker of job "1" has restarted by the platform's list           |

  Scenario: A run is not started again after a late report of the process before
    # The clock of the worker had been set back between its two starts, so that the
    # late report seemed to be of a third process.
    Given an allocator with 2 workers of 32 cores
    When every worker restarts after its clock was set back, while a poll waits
    Given jobs "1" of 1 task of 10 cores that run
    And every worker has reported its runs
    When the poll that waits at the worker of job "1" is answered by its first process
    Then job "1" was started once

  Scenario: The runs of a process that has restarted start again at once
    Given an allocator with 2 workers of 32 cores
    And jobs "1" of 1 task of 10 cores that run
    And every worker has reported its runs
    When the worker of job "1" has restarted by the platform's list
    Then job "1" was started twice
