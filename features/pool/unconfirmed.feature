Feature: Jobs that may have runs unknown to their owner

  Scenario: A task whose run ends while its job is unconfirmed is not started twice
    # The task was held back, its run was found and ended, and it was held back a
    # second time. It was then queued twice, and started twice. Seed 138.
    Given an allocator with 2 workers and an unconfirmed job of 1 task
    When worker 0 reports a run of the task
    And worker 0 reports that the run was stopped
    And worker 1 reports no run
    Then the task is started once
