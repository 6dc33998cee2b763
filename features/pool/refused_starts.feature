Feature: Starts that are refused are not repeated without a pause

  Scenario: A worker that refuses connections is paused while another one is free
    # Each refusal counted as an answer of the worker, so that it was never paused.
    # One task was placed 30 times there within 30 ms.
    Given an allocator with 2 free workers and a job of 1 task
    When worker 0 can't be reached for 0.3 s
    Then at most 2 starts were sent to worker 0
    And the task runs on worker 1

  Scenario: A worker that refuses connections is paused while only it has room
    Given an allocator with 2 free workers and a job of 1 task
    When worker 0 can't be reached for 0.3 s
    And a job arrives every 0.04 s for 0.4 s that only fits worker 0
    Then at most 2 starts were sent to worker 0

  Scenario: A task waits out the pause of the only worker
    Given an allocator with 1 free workers and a job of 1 task
    When worker 0 can't be reached for 0.5 s
    Then at most 2 starts were sent to worker 0
    When worker 0 can be reached for 0.3 s
    Then the task runs on worker 0

  Scenario Outline: A start that is refused as <reason> is repeated with a growing pause
    # An owner that did not reach an agent refused each start at once, and the task
    # was placed again at once, without a pause, for a second. Seed 113.
    Given an allocator with 1 free workers and a job of 1 task
    When worker 0 refuses starts as "<reason>" for 1 s
    Then at most 10 starts were sent to worker 0
    When worker 0 accepts starts for <wait> s
    Then the task runs on worker 0

    Examples:
      | reason     | wait |
      | not_sent   | 0.25 |
      | stale_run  | 0.25 |
      | lease_over       | 0.25 |
      | no_room    | 0.25 |
      | other_life | 0.25 |
      | unhealthy  | 1.6  |

  Scenario: A task whose start was refused once starts again at once
    Given an allocator with 1 free workers and a job of 1 task
    When worker 0 refuses 1 start as "not_sent"
    Then the task runs on worker 0

  Scenario: A task whose start was refused is placed on another worker next
    # The refused start had left the same gap, so that the same worker was chosen
    # until it was paused, or for as long as its agent did not respond.
    Given an allocator with 2 free workers and a job of 1 task
    When worker 0 refuses 1 start as "not_sent"
    Then the task runs on worker 1

  Scenario: An accepted start ends the pauses of a task
    Given an allocator with 1 free workers and a job of 1 task
    When worker 0 refuses starts as "not_sent" for 1 s
    And worker 0 accepts starts for 0.25 s
    And the run of the task fails, and worker 0 refuses 1 start as "not_sent"
    Then the task runs on worker 0

  Scenario: A task is not started when its job is withdrawn during its pause
    Given an allocator with 1 free workers and a job of 1 task
    When worker 0 refuses starts as "not_sent" for 1 s
    And the job is withdrawn
    And worker 0 accepts starts for 0.5 s
    Then no task runs on worker 0

  Scenario: A task is not started when a run of it is found during its pause
    Given an allocator with 2 free workers and a job of 1 task
    When all workers refuse starts as "not_sent" for 1 s
    And a run of the task is found on worker 1
    And all workers accept starts for 0.5 s
    Then the task runs on worker 1
    And no task runs on worker 0

  Scenario Outline: Starts are seldom repeated while all workers have crashed
    # Each start was refused without a connection, and repeated in the same instant.
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of <link> kB/s
    When 2 s pass in the pool
    And all workers crash and refuse connections for 2 s under <per s> jobs per second
    And 6 s pass in the pool
    Then no task was ordered to start more than 12 times
    And every instance becomes idle
    And no invariant is violated

    Examples:
      | link | per s |
      | 1500 | 10    |
      | 1500 | 40    |
      | 100  | 10    |
      | 100  | 40    |
