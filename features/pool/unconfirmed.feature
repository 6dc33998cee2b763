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

  Scenario: A job is not refused as not run after a worker has reported the end of a run of it
    # The client had sent the job to an instance that was lost with its allocator,
    # and sent it again to another one. The end came after that declaration.
    Given an allocator with 2 workers and a job of 1 task without a known run
    When worker 0 reports that the run has failed
    And the owner withdraws its job
    Then the job is given up as one that may have started

  Scenario: A task is not started again after a worker has reported that a run of it is done
    Given an allocator with 2 workers and a job of 1 task without a known run
    When worker 0 reports that the run is done
    And worker 1 reports no run
    Then the task is not started
    And an end of the task as done is sent to its owner

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

  Scenario: A job is not refused as not run after another instance has declared a run of it
    # The client had sent the job to another instance, which declares it again later.
    # The record of the end is what a third instance is answered by.
    Given an allocator with 2 workers and a job of 1 task without a known run
    When the other instance declares its job with a known run on worker 1
    And the other instance withdraws its job
    Then the job is given up as one that may have started

  Scenario: A waiting task is not started beside the run that another owner knows of
    # The client had sent the job to two instances. The allocator had the job
    # from one of them, and ignored the start that the other one declared.
    Given an allocator with 2 workers and a job that waits while worker 1 is silent
    When another instance declares the job with a known run on worker 1
    And the capacity that the job waits for becomes free
    Then the task is not started
    When worker 1 reports that the run is done
    Then the task is not started
    And an end of the task as done is sent to its owner

  Scenario: A task is not started before the start for another owner can't be carried out
    # The run that the second owner knew replaced that of the first one. When it was
    # over, the task was started beside the start that a worker had not answered.
    Given an allocator with 2 workers and a job of 1 task without a known run
    When worker 0 reports no run
    And the task is started on worker 0, which does not answer
    And the owner withdraws its job
    And another instance declares the job with a known run on worker 1
    And worker 1 reports no run
    Then the task is not started
    When worker 0 is silent for 1.2 s
    And worker 1 reports no run
    Then run 2 of the task is started

  Scenario: A job is not refused as not run after another owner has declared a start of it
    Given an allocator with 2 workers and a job that waits while worker 1 is silent
    When another instance declares the job with a known run on worker 1
    And a third instance declares the job and withdraws it
    Then the job is given up as one that may have started

  Scenario: A job that ran is not refused as not run after its declaration was delayed
    # The job seemed to be newer by the delay, and so as new as the record of
    # ended jobs.
    Given an allocator with 1 worker that drops the record of a job that is done
    When the owner of the job is linked, and its next declaration takes 0.3 s
    And the owner withdraws its job
    Then the job is given up as one that may have started

  Scenario: A run is not started again while the list has an earlier start of its worker
    # Its clock had been set back between two starts, so that the earlier one
    # seemed to be later. The worker was taken for restarted, and its run for lost.
    Given an allocator with a run on worker 0, whose clock was set back before its last start
    When the list has its earlier start
    And worker 1 reports no run
    Then the task is not started

  Scenario: The cost of a declaration does not grow with the workers that report unclaimed runs
    # At a takeover these are all workers.
    Given an allocator to which 50 workers report an unclaimed run each
    When another instance declares the job with a known run on worker 1
    Then the unclaimed runs of workers are looked up at most 4 times
    And the job is open, with a run on worker 1

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

  Scenario: A task that is done is not started again after the end of an earlier run was reported
    # The later report of the earlier run replaced the end of the run that was done.
    Given an allocator with 2 workers to which no job is declared
    When worker 0 reports that run 2 is done
    And worker 1 reports that run 1 was stopped
    And the owner declares the job again without a run
    Then the task is not started
    And an end of the task as done is sent to its owner

  Scenario: A task is not started before a start that its owner was not told of is over
    # It waited for 0.5 s, by when the allocator that had lost the owner had sent
    # the stops. They may be carried out late: only the end of the lease is certain.
    Given an allocator with 2 workers and an unconfirmed job of 1 task
    When worker 0 reports no run
    And worker 1 is silent for 1.05 s
    And worker 0 reports no run
    Then the task is not started
    When worker 0 is silent for 0.1 s
    And worker 0 reports no run
    Then run 1 of the task is started

  Scenario Outline: A task waits longer the shorter ago its owner was in contact with another allocator
    # That allocator may have started it up to 0.65 s after that contact, on a worker
    # whose lease it had just extended by 0.9 s. An age of 0 s is unknown.
    Given an allocator with 2 workers and an unconfirmed job of 1 task, <age_s> s after the last contact
    When worker 0 reports no run
    And worker 1 is silent for <before_s> s
    And worker 0 reports no run
    Then the task is not started
    When worker 0 is silent for 0.1 s
    And worker 0 reports no run
    Then run 1 of the task is started

    Examples:
      | age_s | before_s |
      | 0     | 1.52     |
      | 0.2   | 1.32     |
      | 0.6   | 1.05     |
      | 5     | 1.05     |
