Feature: The allocator is lost and another takes over

  Background:
    Given a pool of 6 instances in zones "a b c" with 12 workers

  Scenario: One instance allocates, and a job is served
    When 2 s pass in the pool
    Then exactly 1 instance allocates
    When a job of 4 tasks of 100 ms is handed in
    And 0.3 s pass in the pool
    Then every job is complete
    And no promise is broken

  Scenario: A killed allocator is replaced within 700 ms and its runs are kept
    When 2 s pass in the pool
    And a job of 2 tasks of 900 ms is handed in away from the allocator
    And 0.2 s pass in the pool
    And the allocator is killed
    And 0.3 s of 40 jobs a second of 2 tasks of 100 ms pass
    Then a task starts within 0.7 s of the kill
    When 1.5 s pass in the pool
    Then every job is complete
    And no task of the first job started twice
    And no promise is broken

  Scenario: A silent allocator is replaced within a second
    When 2 s pass in the pool
    And the allocator loses power
    And 0.6 s of 40 jobs a second of 2 tasks of 100 ms pass
    Then a task starts within 1 s of the kill
    When 1.5 s pass in the pool
    Then no promise is broken

  Scenario: A new allocator calls the instances that came after it
    # cacr-andes-grown trouble-3: an instance knew only those that had come
    # before it; as the allocator it called the other 37 of 45 after 1.1 s.
    When 2 s pass in the pool
    And 6 more instances come
    And 2 s pass in the pool
    And the allocator is killed
    Then every instance follows one allocator within 0.7 s

  Scenario: A new allocator calls instances that came late while the store is away
    When 2 s pass in the pool
    And 6 more instances come
    And 2 s pass in the pool
    And the store is away for all
    And the allocator is killed
    Then every instance follows one allocator within 0.8 s

  Scenario: A new allocator calls instances of which the one before had not heard
    When 2 s pass in the pool
    And 6 more instances come
    And 0.1 s pass in the pool
    And the allocator is killed
    Then every instance follows one allocator within 0.8 s

  Scenario: A token that nobody holds any more keeps no candidate back
    # cacr-andes-grown trouble-3: the allocators of a cut zone had stopped; when
    # the cut healed, all others stood back for their token for 0.9 s.
    When 3 more instances come
    And 2 s pass in the pool
    And a zone without the allocator is cut off
    And 2.5 s pass in the pool
    And each allocator of that zone is killed until it has none
    And the cut heals
    Then every instance follows one allocator within 0.9 s

  Scenario: A job that ran while its owner heard nothing is not said not to have run
    # intwari-news-grown trouble-3, REFUSED: the link was reset after the job had
    # run; declared again, it was refused for want of room like a new one.
    When 2 s pass in the pool
    And a job runs while the allocator's words to its owner are lost
    Then no promise is broken

  Scenario: A large configuration is left to the store while that is well
    # intwari-news-grown trouble-3: the allocator sent 1,118 routes to everyone
    # at each heartbeat, and was silent for 0.48 s behind them.
    When 2 s pass in the pool
    And a configuration of 200 KB is written
    Then every instance has it within 0.5 s
    When 0.5 s pass in the pool
    Then instances have sent it to each other at most 0 times

  Scenario: An instance that does not reach the store gets a new configuration in time
    When 2 s pass in the pool
    And an instance that does not allocate does not reach the store
    And a configuration of 200 KB is written
    Then every instance has it within 1.5 s
    When 1 s pass in the pool
    Then instances have sent it to each other at most 2 times

  Scenario: An allocator that does not reach the store gets a new configuration in time
    When 2 s pass in the pool
    And the allocator does not reach the store
    And a configuration of 200 KB is written
    Then every instance has it within 1.5 s

  Scenario Outline: An allocator calls instances at once when a cut heals, after <seconds> s
    # cacr-andes-grown trouble-3: dials from before the end of the cut hung, and
    # the instances of the other side were called 0.7 s after it.
    When 2 s pass in the pool
    And a zone without the allocator is cut off
    And <seconds> s pass in the pool
    And the cut heals
    Then every instance follows one allocator within 0.45 s

    Examples:
      | seconds |
      | 2.75    |
      | 2.8     |
      | 2.85    |
      | 2.95    |

  Scenario: With the store away a reserved token is used
    When 2 s pass in the pool
    And the store is away for all
    And the allocator is killed
    And 0.8 s of 40 jobs a second of 2 tasks of 100 ms pass
    Then exactly 1 instance allocates
    And a task starts within 0.8 s of the kill
    When 2 s pass in the pool
    Then no promise is broken

  Scenario: Two allocators in a row are killed within a second
    When 2 s pass in the pool
    And the allocator is killed
    And 0.5 s of 40 jobs a second of 2 tasks of 100 ms pass
    And the allocator is killed
    And 1 s of 40 jobs a second of 2 tasks of 100 ms pass
    Then exactly 1 instance allocates
    When 2 s pass in the pool
    Then no promise is broken

  Scenario: A planned stop hands the allocation over at once
    When 2 s pass in the pool
    And the allocator retires
    And 0.5 s of 40 jobs a second of 2 tasks of 100 ms pass
    Then a task starts within 0.5 s of the kill
    When 1.5 s pass in the pool
    Then every job is complete
    And no promise is broken

  Scenario Outline: A zone is cut off, goes on, and comes back, seed <seed>
    When 2 s pass in the pool
    And jobs are handed in at random from seed <seed>
    And 0.5 s of 40 jobs a second of 2 tasks of 900 ms pass
    And zone "<zone>" is cut off
    And 3 s of 20 jobs a second of 2 tasks of 900 ms pass
    Then tasks started in zone "a" and outside it in the last second
    When the cut heals
    And 2 s of 20 jobs a second of 2 tasks of 900 ms pass
    Then exactly 1 instance allocates
    When 2 s pass in the pool
    Then no promise is broken

    Examples:
      | seed | zone |
      | 1    | a    |
      | 2    | b    |
      | 3    | c    |

  Scenario: A run on a worker beyond the cut is not taken for over while another allocator holds it
    # cacr-andes trouble-2, TWICE: a new allocator extended the lease of runs of
    # jobs that it did not know.
    When 2 s pass in the pool
    And a job of 6 tasks of 1200 ms is handed in at the allocator
    And 0.1 s pass in the pool
    And the zone of the allocator is cut off
    And 4 s pass in the pool
    Then no promise is broken

  Scenario: A run that a healed cut brings back is not started again
    # intwari-news fresh-b708, TWICE: the lease that the other allocator gave
    # was not counted.
    When 2 s pass in the pool
    And zone "b" is cut off
    And 3 s of 20 jobs a second of 2 tasks of 900 ms pass
    And the cut heals
    And 1 s of 20 jobs a second of 2 tasks of 900 ms pass
    And 2 s pass in the pool
    Then no promise is broken

  Scenario: Starts that the owner never heard of are not repeated while they may run
    # intwari-news hunt-6a9f-23, TWICE: the allocator in the cut zone started
    # tasks of an owner outside it 31 ms after the cut.
    When 2 s pass in the pool
    And jobs are handed in at random from seed 10
    And 0.45 s of 50 jobs a second of 3 tasks of 100 ms pass
    And zone "b" is cut off
    And 2.5 s of 30 jobs a second of 3 tasks of 100 ms pass
    And the cut heals
    And 3 s pass in the pool
    Then no promise is broken

  Scenario Outline: Cuts of any zone at any moment, seed <seed>
    Then 8 drawn days of cuts from seed <seed> break no promise

    Examples:
      | seed |
      | 0    |
      | 8    |

  Scenario: Instances that come after the claim may take over without the store
    Given a pool of 3 instances in zones "a b c" with 6 workers
    When the first instance claims before the others are in the directory
    And the store is away for all
    And the allocator is killed
    And 1 s of 40 jobs a second of 2 tasks of 100 ms pass
    Then exactly 1 instance allocates
    And no promise is broken

  Scenario: An instance cut off from the others does not take the token
    When 2 s pass in the pool
    And an instance that does not allocate is cut off from the others
    And 1 s pass in the pool
    Then exactly 1 instance allocates
    When the cut heals
    And 1 s of 20 jobs a second of 2 tasks of 100 ms pass
    And 2 s pass in the pool
    Then exactly 1 instance allocates
    And no promise is broken

  Scenario: Every instance restarts at once
    When 2 s pass in the pool
    And 0.5 s of 40 jobs a second of 2 tasks of 900 ms pass
    And every instance is killed and starts again
    And 1.5 s pass in the pool
    Then exactly 1 instance allocates
    When a job of 4 tasks of 100 ms is handed in
    And 0.5 s pass in the pool
    Then the last job is complete
    And no promise is broken

  Scenario: A version that one instance can't read travels between them
    When 2 s pass in the pool
    And an instance that does not allocate does not reach the store
    And the configuration becomes version 7
    And 0.6 s pass in the pool
    Then every instance of the pool serves version 7

  Scenario: A slow store does not hold a takeover up
    # Incident inc-b165: a retired allocator was replaced after 0.89 s.
    When 2 s pass in the pool
    And the store takes 0.4 s to answer
    And the allocator retires
    And 0.4 s of 40 jobs a second of 2 tasks of 100 ms pass
    Then a task starts within 0.4 s of the kill
    When 2 s pass in the pool
    Then no promise is broken

  Scenario: An instance that has just come is served in a zone that is cut off
    # Incident inc-d46b: an instance that had come by replacement waited for an
    # allocator for 5 s, since the one of its part of the cut did not know it.
    When 2 s pass in the pool
    And a new instance comes in zone "b" which only the allocator knows
    And zone "b" is cut off
    And 2 s pass in the pool
    Then every instance in zone "b" follows an allocator
