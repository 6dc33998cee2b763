Feature: A job that was answered "not run" has not started and never starts

  Background:
    Given a pool of 3 instances in zones "a b c" with 6 workers

  Scenario Outline: A job that ran is not reported as not run after <resets> resets of its owner's link
    # The allocator's record of the end had lapsed, and the job was refused for
    # lack of capacity like a new one.
    When 2 s pass in the pool
    And a job of 2 tasks of 900 ms is submitted away from the allocator
    And the link of its owner is reset <resets> times in an overload, each time before an answer arrives
    And 1 s pass in the pool
    Then the last job is answered
    And no invariant is violated

    Examples:
      | resets |
      | 1      |
      | 20     |
      | 24     |
      | 30     |
