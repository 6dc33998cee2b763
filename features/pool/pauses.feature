Feature: Instances that are paused while starts wait there

  Scenario Outline: A start that has waited for 1.5 s at <paused> is not ordered any more
    # The lease of such a start is over. A worker that had restarted meanwhile, with
    # its clock, carried it out beside the next run of the task.
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s
    When 4 s pass in the pool
    And a job is submitted while <paused> is paused for 1.5 s
    And 0.05 s pass in the pool
    Then no start was ordered after the pause
    When 4 s pass in the pool
    Then the job is complete
    And no invariant is violated

    Examples:
      | paused      |
      | its owner   |
      | every agent |

  Scenario Outline: A start that has waited for 0.8 s at <paused> does not reach a worker that has restarted
    # The worker had forgotten the stop of that start, and carried it out beside the
    # next run of the task. Review case 2.
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s
    When 4 s pass in the pool
    And 6 jobs are submitted while <paused> is paused for 0.8 s, and the workers restart at its end
    And 4 s pass in the pool
    Then no invariant is violated
    And some starts were meant for an earlier incarnation of a worker

    Examples:
      | paused      |
      | its owner   |
      | every agent |

  Scenario: A task that was done when its owner was paused is not started again
    # The record of the result had lapsed when the owner was linked again.
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s
    When 4 s pass in the pool
    And a job is submitted, and its owner is paused for 6 s while it runs
    And 4 s pass in the pool
    Then the job is complete
    And no invariant is violated
    And no task has started twice
