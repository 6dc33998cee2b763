Feature: Workers that fail, stand still, crash, restart or answer late

  Background:
    Given a pool of 3 instances in zones "a b c" with 9 workers

  Scenario: A worker that fails all that it starts is put out of use
    When 2 s pass in the pool
    And worker "w1" fails all that it starts
    And 4 s of 30 jobs a second of 2 tasks of 100 ms pass
    Then worker "w1" started at most 30 tasks
    And at least 98 of 100 jobs are complete
    And no promise is broken

  Scenario: Tasks that stand still start anew elsewhere
    When 2 s pass in the pool
    And tasks on worker "w1" stand still
    And 4 s of 30 jobs a second of 2 tasks of 100 ms pass
    And 2 s pass in the pool
    Then at least 97 of 100 jobs are complete
    And no promise is broken

  Scenario: A slow worker gets little work
    When 2 s pass in the pool
    And worker "w1" takes 6 times as long
    And 4 s of 30 jobs a second of 2 tasks of 100 ms pass
    And 2 s pass in the pool
    Then worker "w1" started at most 30 tasks
    And at least 97 of 100 jobs are complete
    And no promise is broken

  Scenario: A worker that has crashed loses its runs, which start again
    When 2 s pass in the pool
    And a job of 4 tasks of 300 ms is handed in
    And 0.1 s pass in the pool
    And the worker of the first start crashes
    And 2 s pass in the pool
    Then no promise is broken

  Scenario: Orders that are carried out late start nothing twice
    When 2 s pass in the pool
    And orders to worker "w1" are carried out 0.6 s late
    And 2 s of 30 jobs a second of 2 tasks of 300 ms pass
    And orders to worker "w1" are answered again
    And 3 s pass in the pool
    Then no promise is broken

  Scenario: A worker that begins another life under its id starts from nothing
    When 2 s pass in the pool
    And 1 s of 30 jobs a second of 2 tasks of 100 ms pass
    And worker "w1" begins another life
    And 2 s of 30 jobs a second of 2 tasks of 100 ms pass
    And 1 s pass in the pool
    Then at least 97 of 100 jobs are complete
    And no promise is broken

  Scenario Outline: A list of an earlier life that comes <ms> ms late changes nothing
    # Soak seed 15, TWICE: the list was taken for that of a third life, in which
    # nothing of the second one runs.
    When 2 s pass in the pool
    And worker "w1" begins another life, and a list of the one before comes <ms> ms later
    And 0.5 s of 60 jobs a second of 3 tasks of 600 ms pass
    And 3 s pass in the pool
    Then no promise is broken

    Examples:
      | ms  |
      | 50  |
      | 100 |
      | 200 |
      | 350 |

  Scenario: A worker that drains gets no new task
    When 2 s pass in the pool
    And worker "w1" drains
    And 1 s pass in the pool
    And 1 s of 30 jobs a second of 2 tasks of 100 ms pass
    Then worker "w1" started no task in the last second

  Scenario: Calls that are lost now and then leave the pool its room
    # intwari-news-grown scale-2: with 6 of 100 orders unanswered each took a
    # worker out of use, and 70 of 100 jobs were refused for 5 s.
    When 2 s pass in the pool
    And 6 of 100 calls to workers are lost or carried out late
    And 6 s of 70 jobs a second of 2 tasks of 60 ms pass
    And 3 s pass in the pool
    Then at least 97 of 100 jobs are complete
    And at least 85 of 100 jobs are complete within 160 ms
    And no promise is broken

  Scenario: A worker that is cut off gets no more than a few tasks
    When 2 s pass in the pool
    And worker "w1" is cut off under load for 2 s
    Then at most 8 orders went to worker "w1"
