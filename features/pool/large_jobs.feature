Feature: Jobs of thousands of tasks

  Scenario: The cost of queueing a task does not grow with the tasks of its job
    # Each task was compared with every waiting one, so that the allocator stood
    # still for 0.2 s at the declaration of the largest jobs.
    Given an allocator with 1 workers of 32 cores that counts comparisons of tasks
    When a job of 400 tasks of 10 cores is declared
    And the allocator places what fits
    Then tasks were compared at most 400 times
