Feature: Jobs that may have runs unknown to their owner

  Scenario: A task whose run ends while its job is unconfirmed is not started twice
    # The task was held back, its run was found and ended, and it was held back a
    # second time. It was then queued twice, and started twice. Seed 138.
    Given an allocator with 2 workers and an unconfirmed job of 1 task
    When worker 0 reports a run of the task
    And worker 0 reports that the run was stopped
    And worker 1 reports no run
    Then the task is started once

  Scenario: A task is not started while another worker reports a later run of it
    # The owner knew run 1 on a worker, an allocator had placed run 2 on another
    # one. The report without run 1 led to a start beside run 2. Seeds 1152, 3075.
    Given an allocator with 2 workers and an unconfirmed job with a known run on worker 1
    When worker 0 reports run 2 of the task
    And worker 1 reports no run
    Then the task is not started

  Scenario: A task is not started while another worker reports an earlier run of it
    Given an allocator with 2 workers and an unconfirmed job with known run 2 on worker 1
    When worker 0 reports run 1 of the task
    And worker 1 reports no run
    Then the task is not started

  Scenario: A task is started after a reported run of it that a silent worker had
    # Nothing else would end the wait for the worker's next report.
    Given an allocator with 2 workers and an unconfirmed job with a known run on worker 1
    When worker 0 reports run 2 of the task
    And worker 1 reports no run
    And worker 0 is silent for 1.05 s
    Then the task is not started
    When worker 0 is silent for 0.1 s
    And worker 1 reports no run
    Then run 3 of the task is started

  Scenario: A task is continued by a later run of it that another worker reports
    Given an allocator with 2 workers and an unconfirmed job with a known run on worker 1
    When worker 0 reports run 2 of the task
    And worker 1 reports no run
    And worker 0 reports run 2 of the task
    Then the task is not started
    And the owner knows run 2 on worker 0

  Scenario: A run number is not used again after another worker has reported it
    # A record of the end of the one run was taken as that of the other.
    Given an allocator with 2 workers and an unconfirmed job with a known run on worker 1
    When worker 0 reports run 2 of the task
    And worker 0 reports no run
    And worker 1 reports no run
    Then run 3 of the task is started

  Scenario: An owner that has missed a start is told the number of that run
    Given an allocator with 2 workers and an unconfirmed job with known run 2 on worker 1
    When worker 1 reports no run
    And worker 0 reports run 1 of the task
    And the owner declares the job again without a run
    Then the task is not started
    And the owner knows run 1 on worker 0
