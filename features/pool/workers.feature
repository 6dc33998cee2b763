Feature: Workers that fail, hang, crash, restart or answer late

  Background:
    Given a pool of 3 instances in zones "a b c" with 9 workers

  Scenario: A worker on which every run fails is ejected
    When 2 s pass in the pool
    And every run on worker "w1" fails
    And 30 jobs per second of 2 tasks of 100 ms are submitted for 4 s
    Then worker "w1" started at most 30 tasks
    And at least 98 of 100 jobs are complete
    And no invariant is violated

  Scenario: Tasks that hang are started again on another worker
    When 2 s pass in the pool
    And tasks on worker "w1" hang
    And 30 jobs per second of 2 tasks of 100 ms are submitted for 4 s
    And 2 s pass in the pool
    Then at least 97 of 100 jobs are complete
    And no invariant is violated

  Scenario: A slow worker gets few tasks
    When 2 s pass in the pool
    And worker "w1" is 6 times slower
    And 30 jobs per second of 2 tasks of 100 ms are submitted for 4 s
    And 2 s pass in the pool
    Then worker "w1" started at most 30 tasks
    And at least 97 of 100 jobs are complete
    And no invariant is violated

  Scenario: The runs of a crashed worker start again
    When 2 s pass in the pool
    And a job of 4 tasks of 300 ms is submitted
    And 0.1 s pass in the pool
    And the worker of the first start crashes
    And 2 s pass in the pool
    Then no invariant is violated

  Scenario: Orders that are carried out late start no task twice
    When 2 s pass in the pool
    And orders to worker "w1" are carried out 0.6 s late
    And 30 jobs per second of 2 tasks of 300 ms are submitted for 2 s
    And orders to worker "w1" are answered again
    And 3 s pass in the pool
    Then no invariant is violated

  Scenario: A worker that restarts under its id starts without runs
    When 2 s pass in the pool
    And 30 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    And worker "w1" restarts under its id
    And 30 jobs per second of 2 tasks of 100 ms are submitted for 2 s
    And 1 s pass in the pool
    Then at least 97 of 100 jobs are complete
    And no invariant is violated

  Scenario Outline: A report of an earlier incarnation that is <ms> ms late is ignored
    # The report was attributed to a third incarnation, in which no run of the
    # second one is in progress. Soak seed 15, TWICE.
    When 2 s pass in the pool
    And worker "w1" restarts under its id, and a report of its previous incarnation arrives <ms> ms later
    And 60 jobs per second of 3 tasks of 600 ms are submitted for 0.5 s
    And 3 s pass in the pool
    Then no invariant is violated

    Examples:
      | ms  |
      | 50  |
      | 100 |
      | 200 |
      | 350 |

  Scenario: A draining worker gets no new task
    When 2 s pass in the pool
    And worker "w1" drains
    And 1 s pass in the pool
    And 30 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    Then worker "w1" started no task in the last second

  Scenario: Occasionally lost calls do not reduce the capacity of the pool
    # Each unanswered order paused a worker. With 6 of 100 orders unanswered, 70
    # of 100 jobs were refused for 5 s. intwari-news-grown scale-2.
    When 2 s pass in the pool
    And 6 of 100 calls to workers are lost or carried out late
    And 70 jobs per second of 2 tasks of 60 ms are submitted for 6 s
    And 3 s pass in the pool
    Then at least 97 of 100 jobs are complete
    And at least 85 of 100 jobs are complete within 160 ms
    And no invariant is violated

  Scenario: A worker that is cut off gets no more than a few tasks
    When 2 s pass in the pool
    And worker "w1" is cut off under load for 2 s
    Then at most 8 orders are sent to worker "w1"

  Scenario: A worker that answers every poll at once is polled with a pause
    # Each answer was followed by the next poll in the same instant.
    When 2 s pass in the pool
    And worker "w1" answers every poll at once for 1 s
    Then at most 45 polls are sent to worker "w1" in that time
    When 30 jobs per second of 2 tasks of 100 ms are submitted for 2 s
    And 1 s pass in the pool
    Then every job is complete
    And no invariant is violated
