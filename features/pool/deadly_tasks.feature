Feature: Tasks that crash the workers that start them

  # A task was started on one worker after another until its client gave up, about
  # once a second, and each start took a worker with it for some seconds.

  Background:
    Given a pool of 3 instances in zones "a b c" with 12 workers

  Scenario: A task that crashes its workers is not started again and again
    When 2 s pass in the pool
    And a job with a task that crashes its workers is submitted by a client that waits 30 s
    And 20 s pass in the pool
    Then the last job has failed or its outcome is unknown
    And no task is started three times after it has crashed three workers
    And no invariant is violated

  Scenario: A task that crashes its workers is not started for each submission of its job
    When 2 s pass in the pool
    And a client sends a job with a task that crashes its workers again and again for 20 s
    Then no task is started three times after it has crashed three workers
    And no invariant is violated

  Scenario: A task that crashes its workers is not started by each allocator
    When 2 s pass in the pool
    And a job with a task that crashes its workers is submitted by a client that waits 30 s
    And the allocator is killed after 1.6 s, and the next one after 2.6 s
    And 20 s pass in the pool
    Then the last job has failed or its outcome is unknown
    And no task is started three times after it has crashed three workers
    And no invariant is violated

  Scenario: A task that crashes its workers is not started anew when its allocator and its owner are lost
    # One machine was both, so that nobody knew of the first three crashes.
    When 62 s pass in the pool
    And a job with a task that crashes its workers is submitted at the allocator
    And the allocator is killed after the task has crashed 3 workers
    And the client sends the deadly job again to another instance
    And 15 s pass in the pool
    Then the last job has failed or its outcome is unknown
    And no task is started three times after it has crashed three workers

  Scenario: Jobs beside a task that crashes its workers do not fail
    When 2 s pass in the pool
    And a job with a task that crashes its workers is submitted by a client that waits 30 s
    And 10 jobs per second of 2 tasks of 300 ms are submitted for 8 s
    And 10 s pass in the pool
    Then no job but the one whose task crashes its workers has failed
    And no invariant is violated
