Feature: Workers come back at other addresses
  The calls to a worker went to the address with which the allocator had first
  read its entry, until another instance allocated. Review case 7.

  Scenario Outline: Calls follow the entries of workers that restart elsewhere
    Given <a pool>
    When 2 s pass in the pool
    And <the workers move>
    Then every worker is called at its address within 3 s
    When 20 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    And 1 s pass in the pool
    Then every job is complete
    And no invariant is violated

    Examples: the allocator calls the workers
      | a pool                                                                                  | the workers move                                             |
      | a pool of 3 instances in zones "a b c" with 9 workers                                   | every worker restarts at another address                     |
      | a pool of 3 instances in zones "a b c" with 9 workers                                   | every worker restarts at the address of the next one         |
      | a pool of 3 instances in zones "a b c" with 9 workers                                   | every worker restarts at another address and then comes back |
      | a pool of 3 instances in zones "a b c" with 9 workers                                   | the allocator dies as every worker moves, unread by it       |

    Examples: agents call the workers
      | a pool                                                                                  | the workers move                                             |
      | a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s            | every worker restarts at another address                     |
      | a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s            | every worker restarts at the address of the next one         |
      | a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s            | every worker restarts at another address and then comes back |
      | a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s            | the allocator dies as every worker moves, unread by it       |
      | a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s            | the allocator is replaced while frozen as every worker moves |

  Scenario Outline: Jobs that run or start while workers move run once at a time
    Given <a pool>
    When 2 s pass in the pool
    And the workers move in turn under a load of 20 jobs per second
    And 3 s pass in the pool
    Then no invariant is violated

    Examples:
      | a pool                                                                       |
      | a pool of 3 instances in zones "a b c" with 9 workers                        |
      | a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s |

  Scenario: A row of the process before does not bring its address back
    # Rows of the list may arrive late.
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And every worker restarts at another address
    And 1 s pass in the pool
    And the rows of the processes before are listed again
    Then every worker is called at its address within 3 s

  Scenario: A call of an allocator goes to the address that it was told
    # An allocator that was replaced while it was frozen wakes with old entries.
    Given two allocators with one agent, to whom a worker has different addresses
    When each of them polls the worker through the agent in turn
    Then each poll went to the address that its allocator has read

  Scenario: Workers whose start is unknown are followed as well
    Given an allocator that has read a worker without a start time
    When the address of that worker changes in the list
    Then its calls move to the other address
