Feature: Job steps, placement constraints and messages to owners

  Background:
    Given a pool of 3 instances in zones "a b c" with 6 workers

  Scenario: A step starts when the step before it is done
    When 2 s pass in the pool
    And a job of 3 steps of 2 tasks of 100 ms is submitted
    And 0.5 s pass in the pool
    Then every job is complete
    And its steps started one after another

  Scenario: Steps continue under the next allocator
    When 2 s pass in the pool
    And a job of 3 steps of 2 tasks of 300 ms is submitted away from the allocator
    And 0.4 s pass in the pool
    And the allocator is killed
    And 3 s pass in the pool
    Then every job is complete
    And its steps started one after another
    And no invariant is violated

  Scenario: Tasks run near their data while there is free capacity
    When 2 s pass in the pool
    And a job of 2 tasks with rack "rack-3" is submitted
    And 0.5 s pass in the pool
    Then every job is complete
    And its tasks ran on "w3"

  Scenario: Tasks whose rack is full run on other workers
    When 2 s pass in the pool
    And a job of 4 tasks with rack "rack-3" is submitted
    And 0.5 s pass in the pool
    Then every job is complete

  Scenario: Tasks run only on workers with the required label
    When 2 s pass in the pool
    And a job of 4 tasks that require label "b" is submitted
    And 1 s pass in the pool
    Then every job is complete
    And its tasks ran on "w0"

  Scenario: The tasks of a step on one worker stay within its limit
    When 2 s pass in the pool
    And a job of 6 tasks with at most 1 per worker is submitted
    And 0.5 s pass in the pool
    Then every job is complete
    And its tasks ran on 6 workers

  Scenario: A job that no worker fits is refused at once
    When 2 s pass in the pool
    And a job of 2 tasks that require label "nowhere" is submitted
    And 0.05 s pass in the pool
    Then the last job is refused because "no_worker_fits"

  Scenario Outline: A task whose end is lost with a link does not run again
    When 2 s pass in the pool
    And a job of 2 tasks of 200 ms is submitted away from the allocator
    And <before> s pass in the pool
    And the link of its owner is reset, and messages in transit are lost
    And 1.5 s pass in the pool
    Then every job is complete
    And no task of the first job started twice

    Examples:
      | before |
      | 0.05   |
      | 0.19   |
      | 0.2    |
      | 0.205  |
      | 0.21   |

  Scenario: A job that is submitted again waits until its earlier runs are over
    # An owner that sent nothing for 0.6 s had its job given up, and declared it
    # again while the worker, which was cut off too, still ran it. Random cut 6.
    When 2 s pass in the pool
    And a job of 2 tasks of 900 ms is submitted away from the allocator
    And 0.1 s pass in the pool
    And its workers are cut off from the allocator
    And its owner is lost and the same job is submitted at another instance
    And 0.6 s pass in the pool
    And the workers are reachable again
    And 3 s pass in the pool
    Then no invariant is violated

  Scenario: An owner whose link has timed out marks its jobs as unconfirmed
    # A paused owner was linked to the same allocator again right after it
    # resumed, assumed that its jobs were still tracked there, and answered "not
    # run". Soak seed 17.
    When 2 s pass in the pool
    And a job of 2 tasks of 900 ms is submitted away from the allocator
    And 0.1 s pass in the pool
    And the link to its paused owner times out, and the owner resumes and is linked again at once
    Then its owner marks the job as unconfirmed
    When 3 s pass in the pool
    Then no invariant is violated
