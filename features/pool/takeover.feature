Feature: Takeover after the loss of the allocator

  Background:
    Given a pool of 6 instances in zones "a b c" with 12 workers

  Scenario: One instance allocates and a job completes
    When 2 s pass in the pool
    Then exactly 1 instance allocates
    When a job of 4 tasks of 100 ms is submitted
    And 0.3 s pass in the pool
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

  Scenario: An allocator without power is replaced within a second
    When 2 s pass in the pool
    And the allocator loses power
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 0.6 s
    Then a task starts within 1 s of the loss
    When 1.5 s pass in the pool
    Then no invariant is violated

  Scenario: A new allocator dials the instances that started after it
    # An instance tracked only those that had started before it. As the
    # allocator it dialled the other 37 of 45 after 1.1 s. cacr-andes-grown
    # trouble-3.
    When 2 s pass in the pool
    And 6 more instances start
    And 2 s pass in the pool
    And the allocator is killed
    Then every instance follows one allocator within 0.7 s

  Scenario: A new allocator dials instances that started late while the store is unavailable
    When 2 s pass in the pool
    And 6 more instances start
    And 2 s pass in the pool
    And the store is unavailable to all instances
    And the allocator is killed
    Then every instance follows one allocator within 0.8 s

  Scenario: A new allocator dials instances that the previous one did not track
    When 2 s pass in the pool
    And 6 more instances start
    And 0.1 s pass in the pool
    And the allocator is killed
    Then every instance follows one allocator within 0.8 s

  Scenario: A higher token without an allocator does not make candidates back off
    # The allocators of a zone that was cut off had stopped. When the cut healed,
    # all other candidates backed off for 0.9 s because of their token.
    # cacr-andes-grown trouble-3.
    When 3 more instances start
    And 2 s pass in the pool
    And a zone without the allocator is cut off
    And 2.5 s pass in the pool
    And each allocator of that zone is killed until it has none
    And the cut heals
    Then every instance follows one allocator within 0.9 s

  Scenario: A job whose messages were lost is not reported as not run
    # The link was reset after the job had run. Declared again, the job was
    # refused for lack of capacity like a new one. intwari-news-grown trouble-3,
    # REFUSED.
    When 2 s pass in the pool
    And a job runs while the allocator's messages to its owner are lost
    Then no invariant is violated

  Scenario: A large configuration is read from the store while it is available
    # The allocator sent 1,118 routes to all instances at each heartbeat, and no
    # other message left for 0.48 s behind them. intwari-news-grown trouble-3.
    When 2 s pass in the pool
    And a configuration of 200 KB is written
    Then every instance has it within 0.5 s
    When 0.5 s pass in the pool
    Then instances send it to each other at most 0 times

  Scenario: An instance that can't reach the store gets a new configuration in time
    When 2 s pass in the pool
    And an instance other than the allocator can't reach the store
    And a configuration of 200 KB is written
    Then every instance has it within 1.5 s
    When 1 s pass in the pool
    Then instances send it to each other at most 2 times

  Scenario: An allocator that can't reach the store gets a new configuration in time
    When 2 s pass in the pool
    And the allocator can't reach the store
    And a configuration of 200 KB is written
    Then every instance has it within 1.5 s

  Scenario Outline: An allocator dials instances at once when a cut heals after <seconds> s
    # Dials that were started before the cut healed hung, and the instances on
    # the other side were dialled 0.7 s after it. cacr-andes-grown trouble-3.
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

  Scenario: A reserved token is used while the store is unavailable
    When 2 s pass in the pool
    And the store is unavailable to all instances
    And the allocator is killed
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 0.8 s
    Then exactly 1 instance allocates
    And a task starts within 0.8 s of the loss
    When 2 s pass in the pool
    Then no invariant is violated

  Scenario: Two allocators in a row are killed within a second
    When 2 s pass in the pool
    And the allocator is killed
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 0.5 s
    And the allocator is killed
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    Then exactly 1 instance allocates
    When 2 s pass in the pool
    Then no invariant is violated

  Scenario: A retiring allocator is replaced at once
    When 2 s pass in the pool
    And the allocator retires
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 0.5 s
    Then a task starts within 0.5 s of the loss
    When 1.5 s pass in the pool
    Then every job is complete
    And no invariant is violated

  Scenario Outline: A zone is cut off, continues and is reconnected, jobs numbered from <seed>
    When 2 s pass in the pool
    And jobs are numbered from <seed>
    And 40 jobs per second of 2 tasks of 900 ms are submitted for 0.5 s
    And zone "<zone>" is cut off
    And 20 jobs per second of 2 tasks of 900 ms are submitted for 3 s
    Then tasks started in zone "a" and outside it in the last second
    When the cut heals
    And 20 jobs per second of 2 tasks of 900 ms are submitted for 2 s
    Then exactly 1 instance allocates
    When 2 s pass in the pool
    Then no invariant is violated

    Examples:
      | seed | zone |
      | 1    | a    |
      | 2    | b    |
      | 3    | c    |

  Scenario: A run on a worker beyond a cut is not started again while another allocator tracks it
    # A new allocator extended the lease of runs whose jobs it did not track.
    # cacr-andes trouble-2, TWICE.
    When 2 s pass in the pool
    And a job of 6 tasks of 1200 ms is submitted at the allocator
    And 0.1 s pass in the pool
    And the zone of the allocator is cut off
    And 4 s pass in the pool
    Then no invariant is violated

  Scenario: A run that is reachable again after a cut is not started again
    # The lease that the other allocator had granted was not taken into account.
    # intwari-news fresh-b708, TWICE.
    When 2 s pass in the pool
    And zone "b" is cut off
    And 20 jobs per second of 2 tasks of 900 ms are submitted for 3 s
    And the cut heals
    And 20 jobs per second of 2 tasks of 900 ms are submitted for 1 s
    And 2 s pass in the pool
    Then no invariant is violated

  Scenario: Starts that the owner was not notified of are not repeated while they may run
    # The allocator in the zone that was cut off started tasks of an owner outside
    # it 31 ms after the cut. intwari-news hunt-6a9f-23, TWICE.
    When 2 s pass in the pool
    And jobs are numbered from 10
    And 50 jobs per second of 3 tasks of 100 ms are submitted for 0.45 s
    And zone "b" is cut off
    And 30 jobs per second of 3 tasks of 100 ms are submitted for 2.5 s
    And the cut heals
    And 3 s pass in the pool
    Then no invariant is violated

  Scenario Outline: Cuts of random zones at random times, seed <seed>
    Then 8 random cuts from seed <seed> violate no invariant

    Examples:
      | seed |
      | 0    |
      | 8    |

  Scenario: Instances that start after the claim may take over without the store
    Given a pool of 3 instances in zones "a b c" with 6 workers
    When the first instance claims the token before the others are in the directory
    And the store is unavailable to all instances
    And the allocator is killed
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    Then exactly 1 instance allocates
    And no invariant is violated

  Scenario: An instance that is cut off from the others does not claim the token
    When 2 s pass in the pool
    And an instance other than the allocator is cut off from the others
    And 1 s pass in the pool
    Then exactly 1 instance allocates
    When the cut heals
    And 20 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    And 2 s pass in the pool
    Then exactly 1 instance allocates
    And no invariant is violated

  Scenario: All instances restart at once
    When 2 s pass in the pool
    And 40 jobs per second of 2 tasks of 900 ms are submitted for 0.5 s
    And every instance is killed and starts again
    And 1.5 s pass in the pool
    Then exactly 1 instance allocates
    When a job of 4 tasks of 100 ms is submitted
    And 0.5 s pass in the pool
    Then the last job is complete
    And no invariant is violated

  Scenario: A configuration version that one instance can't read is sent by its peers
    When 2 s pass in the pool
    And an instance other than the allocator can't reach the store
    And the configuration becomes version 7
    And 0.6 s pass in the pool
    Then every instance of the pool serves version 7

  Scenario: A slow store does not delay a takeover
    # With a slow store a retired allocator was replaced only after 0.89 s.
    # Incident inc-b165.
    When 2 s pass in the pool
    And the store takes 0.4 s to answer
    And the allocator retires
    And 40 jobs per second of 2 tasks of 100 ms are submitted for 0.4 s
    Then a task starts within 0.4 s of the loss
    When 2 s pass in the pool
    Then no invariant is violated

  Scenario: An instance that has just started follows an allocator in a zone that is cut off
    # A replacement instance waited for an allocator for 5 s, since the allocator
    # on its side of the cut did not track it. Incident inc-d46b.
    When 2 s pass in the pool
    And a new instance starts in zone "b" that only the allocator tracks
    And zone "b" is cut off
    And 2 s pass in the pool
    Then every instance in zone "b" follows an allocator

  Scenario: A worker list that is read while the allocator stops is not shared
    # It was sent to the followers whose links had just been closed, which gave an
    # unhandled KeyError. Random seed 17.
    When 2 s pass in the pool
    And a changed worker list reaches the allocator just after it has stopped
    And 2 s pass in the pool
    Then exactly 1 instance allocates

  Scenario: A store that answers the wait for a configuration at once is read with a pause
    # Each answer was followed by the next read in the same instant.
    When 2 s pass in the pool
    And the store answers an instance at once without a change for 2 s
    Then the instance reads the configuration at most 15 times in that time

  Scenario: An allocator that stops while it reads the worker list raises no error
    # It sent the changed list over links that it had closed.
    When 2 s pass in the pool
    And a worker begins to drain, and the allocator stops while it reads that
    Then no error is logged
