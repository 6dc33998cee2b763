Feature: Runs of owners that the allocator has lost

  Scenario Outline: Runs whose stops are carried out late are not started again beyond a cut, <calls>
    # The allocator in the zone that was cut off went on extending their lease, and
    # the other side started them again. Review cases 6 and 8, TWICE.
    Given a pool of 6 instances in zones "a b" with 12 workers and links of <links> kB/s
    When 2 s pass in the pool
    And 8 jobs of 1 task of 4000 ms are submitted outside the allocator's zone
    And 0.3 s pass in the pool
    And stops in the allocator's zone are carried out 3 s late, and it is cut off
    And 20 jobs per second of 1 task of 200 ms are submitted at the allocator for 4 s
    Then tasks were started again
    And no invariant is violated

    Examples:
      | calls  | links |
      | direct | 1500  |
      | agents | 100   |

  Scenario: Starts of which the owner was not told are not repeated while they may run
    # Tasks of jobs that were declared again waited for 0.5 s, by when the allocator
    # beyond the cut had sent the stops.
    Given a pool of 6 instances in zones "a b" with 6 workers
    When 2 s pass in the pool
    And 8 jobs of 1 task of 4000 ms are submitted outside the allocator's zone
    And they are started, but messages to their owner are lost in a cut with late stops
    And 4 s pass in the pool
    Then tasks were started again
    And no invariant is violated
