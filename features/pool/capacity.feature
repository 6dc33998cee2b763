Feature: The capacity of a worker shrinks and grows while it runs

  Scenario: A worker that has shrunk gets no task until there is room for it
    # What is being stopped still counts.
    Given an allocator with 1 workers of 32 cores
    And jobs "1 2 3" of 1 task of 10 cores that run
    When worker 0 shrinks to 24 cores
    And a job "4" of 1 task of 10 cores waits
    Then job "4" is not started
    When job "1" is withdrawn
    Then job "4" is not started
    When the stop of job "1" is accepted
    Then job "4" is not started
    When the run of job "1" is over
    Then job "4" is not started
    When the run of job "2" is over
    Then job "4" runs

  Scenario: A worker that has grown again gets tasks again
    Given an allocator with 1 workers of 32 cores
    And jobs "1 2 3" of 1 task of 10 cores that run
    When worker 0 shrinks to 8 cores
    And a job "4" of 1 task of 10 cores waits
    And the run of job "1" is over
    And the run of job "2" is over
    And the run of job "3" is over
    Then job "4" is not started
    When worker 0 grows to 10 cores
    Then job "4" runs

  Scenario: An unanswered start counts until it can't be carried out any more
    Given an allocator with 1 workers of 32 cores
    And a job "1" of 1 task of 20 cores whose start is not answered
    When worker 0 shrinks to 24 cores
    And a job "2" of 1 task of 10 cores waits
    And job "1" is withdrawn
    Then job "2" is not started
    When the stop of job "1" is accepted
    Then job "2" is not started
    When the worker reports after the stop
    Then job "2" runs

  Scenario: A worker that has shrunk does not keep tasks from the others
    # The cores that it lacked were subtracted from those that were free elsewhere.
    Given an allocator with 2 workers of 32 cores
    And jobs "1 2 3 4" of 1 task of 10 cores that run
    When worker 0 shrinks to 1 cores
    And a job "5" of 1 task of 10 cores waits
    Then job "5" runs

  Scenario Outline: Workers that shrink and grow under load run nothing over their capacity
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of <link> kB/s
    When 2 s pass in the pool
    And <per s> jobs per second of 2 tasks of <ms> ms are submitted for 12 s while workers shrink and grow
    And 4 s pass in the pool
    Then no invariant is violated
    And at least <jobs> of 100 jobs are complete
    And the workers that had shrunk were full

    Examples:
      | link | per s | ms  | jobs |
      | 1500 | 20    | 300 | 90   |
      | 100  | 20    | 300 | 90   |
      | 1500 | 60    | 100 | 90   |
