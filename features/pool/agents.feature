Feature: Worker agents make the calls of an allocator with a small link

  Background:
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s

  Scenario: Jobs complete, and the allocator calls no worker itself
    When 2 s pass in the pool
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 2 s
    And 1 s pass in the pool
    Then every job is complete
    And the allocator has called no worker since it was elected
    And every worker was called by instances of its zone
    And no payload was sent to the allocator
    And no invariant is violated

  Scenario: An allocator whose link has room for the calls makes them itself
    # A hop more each way left urgent jobs waiting longer beside a flood.
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    And 1 s pass in the pool
    Then every job is complete
    And only the allocator has called workers

  Scenario Outline: The workers of a lost agent move before their leases lapse
    When 2 s pass in the pool
    And an agent <is lost> while 30 jobs per second of 2 tasks of 900 ms run
    Then every job that was not submitted there is complete
    And no run has lapsed
    And no invariant is violated

    Examples:
      | is lost      |
      | is killed    |
      | loses power  |

  Scenario: Orders that reach an agent seconds late start nothing twice
    # A paused process carries out what has arrived meanwhile.
    When 2 s pass in the pool
    And an agent receives nothing for 2.5 s under a load of 40 jobs per second
    Then no invariant is violated

  Scenario: A worker that its agent can't reach is called by the next one
    When 2 s pass in the pool
    And an agent is cut off from one of its workers
    And 4 s pass in the pool
    Then that worker is called by another agent
    When 20 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    And 1 s pass in the pool
    Then no invariant is violated

  Scenario: A worker whose agent gets no connection to it is called by the next one
    # Each start that was refused without a connection counted as an answer of the
    # worker, and reset the count of unanswered polls.
    When 2 s pass in the pool
    And 3 polls of worker "w1" get no answer, and each time a start is refused as "unreached"
    And 1 s pass in the pool
    Then worker "w1" has another agent

  Scenario: An owner that can't reach an agent calls its workers itself
    When 2 s pass in the pool
    And two instances other than the allocator are cut off from each other
    And 20 jobs of 4 tasks of 100 ms are submitted at one of them
    And 2 s pass in the pool
    Then every job is complete
    And no invariant is violated

  Scenario: A killed allocator is replaced within 700 ms and its runs continue
    When 2 s pass in the pool
    And a job of 2 tasks of 900 ms is submitted away from the allocator
    And 0.2 s pass in the pool
    And the allocator is killed
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 0.3 s
    Then a task starts within 0.7 s of the loss
    When 1.5 s pass in the pool
    Then every job is complete
    And no task of the first job started twice
    And no invariant is violated

  Scenario: The job of an answer that is lost with an agent is not run again
    # The worker ran the task, and its agent died before it could report.
    When 2 s pass in the pool
    And every agent but the allocator is killed while 20 jobs of 2 tasks of 300 ms run
    Then no invariant is violated

  Scenario: Random cuts between the zones violate no invariant
    Then 12 random cuts from seed 40 violate no invariant

  Scenario: Malformed messages about calls leave the allocator working
    When 2 s pass in the pool
    And agents report unknown calls, refusals and runs
    And 20 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    And 1 s pass in the pool
    Then exactly 1 instance allocates
    And every job is complete
    And no invariant is violated

  Scenario: A new allocator waits until it knows the agents
    # It took all workers itself first: at 297 machines it opened 3,000
    # connections, and passed the workers on at once.
    When 2 s pass in the pool
    And messages between instances take 20 ms
    And the allocator is killed, and 1 s passes
    Then the next allocator has called no worker since then

  Scenario: Worker rows and the directory are sent as changes
    # All rows went to 16 instances whenever one had changed, and filled a link of
    # 2 Mbit/s while the workers started. intwari-news-large quiet-1 --small.
    When 3 s pass in the pool
    And worker "w1" drains
    And 2 s pass in the pool
    Then 1 worker row was sent to each successor in the last 2 s
    And no directory entry was sent in the last 2 s
    When the allocator is killed
    And 2 s pass in the pool
    Then at most 6 worker rows were sent to each successor in the last 2 s
