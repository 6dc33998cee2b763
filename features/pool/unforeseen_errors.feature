Feature: Unforeseen errors end the work on one item only

  # One entry that could not be decoded ended the reads of the worker list and of the
  # configuration for good, and an election that met it was the last one.

  Scenario: A failed read of the worker list is not the last one
    Given a pool of 1 instances in zones "a" with 6 workers
    When 2 s pass in the pool
    And reads of "workers" fail with an unforeseen error for 1 s
    And worker "w0" drains
    And 2 s pass in the pool
    Then the allocator has read that worker "w0" drains

  Scenario: A failed read of the configuration is not the last one
    Given a pool of 3 instances in zones "a b c" with 6 workers
    When 2 s pass in the pool
    And reads of "config" fail with an unforeseen error for 1 s
    And the configuration becomes version 7
    And 2 s pass in the pool
    Then every instance of the pool serves version 7

  Scenario: A failed read of the directory is not the last one
    Given a pool of 3 instances in zones "a b c" with 6 workers
    When 2 s pass in the pool
    And reads of "instances" fail with an unforeseen error for 1 s
    And 2 more instances start
    Then every instance follows one allocator within 3 s

  Scenario: A failed claim is not the last election of an instance
    Given a pool of 3 instances in zones "a b c" with 6 workers
    When reads of "read_allocator" fail with an unforeseen error for 1 s
    And 3 s pass in the pool
    Then exactly 1 instance allocates

  Scenario: An action that fails does not keep the others from being executed
    Given a pool of 3 instances in zones "a b c" with 6 workers
    When 2 s pass in the pool
    And every call to worker "w0" fails with an unforeseen error
    And 20 jobs of 2 tasks of 50 ms are submitted at the allocator
    And 2 s pass in the pool
    Then at least 90 of 100 jobs are complete

  Scenario: A message that no frame can hold is dropped without the others
    When a message with a number of 30 digits is sent between two others
    Then the two others arrive

  Scenario: A request that fails in its handler is answered
    When two requests arrive, and the handler of the first one fails
    Then the first one is answered with 504 and the second one with 200
