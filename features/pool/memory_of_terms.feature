Feature: A term as allocator leaves no memory behind
  Each term left 32 MB in its process, as few objects are created while a process
  is idle and the collector hardly runs. Review case 9.

  Scenario: The filters of ids need little memory while few ids are recorded
    Given an id filter that retains 0 ids for 10 s
    Then the filter has at most 0 bytes
    Given an id filter that retains 500 ids for 10 s
    Then the filter has at most 4096000 bytes
    And the filter reports all of the ids
    When 10 s pass for the filter in steps of 0.5 s
    And 10 s pass for the filter in steps of 0.5 s
    Then the filter has at most 0 bytes

  Scenario: The filters of a term are freed at its end, without a collection
    Given a pool of 1 instance in zones "a" with 2 workers
    When 2 s pass in the pool
    And 20 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    Then the filters of the term have memory
    When the term ends without a collection
    Then the filters of the term have none

  Scenario: Nothing keeps the state of a term that has ended
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And 20 jobs per second of 2 tasks of 100 ms are submitted for 1 s
    And the term ends without a collection
    And 3 s pass in the pool
    Then a collection was requested
    And after it the state of the term is gone
