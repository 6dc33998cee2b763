Feature: Messages about a job belong to one attempt of its client

  Scenario: An attempt is not answered with the end of the attempt before
    # The answer to the withdrawal of the first attempt was taken as that to the
    # second one, whose tasks then ran for nobody.
    Given a pool of 6 instances in zones "a b c" with 12 workers
    When 2 s pass in the pool
    And a client disconnects and sends its job again to the same instance at once
    And 3 s pass in the pool
    Then the last attempt is answered with its result

  Scenario: An attempt is not given up by a late withdrawal of the attempt before
    Given a pool of 6 instances in zones "a b c" with 12 workers
    When 2 s pass in the pool
    And a job is sent again to the same instance and the first attempt is withdrawn late
    And 3 s pass in the pool
    Then the last attempt is answered with its result

  Scenario: An attempt whose declaration was lost does not get the end of the attempt before
    Given a pool of 6 instances in zones "a b c" with 12 workers
    When 2 s pass in the pool
    And a job is sent again to the same instance while its link is lost after the withdrawal
    And 3 s pass in the pool
    Then the last attempt is answered with its result

  Scenario: An owner orders no start that was decided for the attempt before
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s
    When 2 s pass in the pool
    And a job is sent again to the same instance before it receives the starts of the first attempt
    And 3 s pass in the pool
    Then the last attempt is answered with its result
    And each of its tasks has started once
    And no invariant is violated

  Scenario Outline: An instance that stops does not refuse an attempt as not run after the one before may have started
    Given a pool of 6 instances in zones "a b c" with 12 workers
    When 2 s pass in the pool
    Given a client of an instance other than the allocator
    When the client posts a job of one task of 900 ms
    And 0.1 s pass in the pool
    And <before the next attempt>
    And the instance stops within 1 s
    And the client posts the job again
    Then the request is answered as one of unknown outcome

    Examples:
      | before the next attempt              |
      | the connection of the client is lost |
      | 0.05 s pass in the pool              |

  Scenario: An instance that stops refuses a job that it has not had before
    Given a pool of 6 instances in zones "a b c" with 12 workers
    When 2 s pass in the pool
    Given a client of an instance other than the allocator
    When the instance stops within 1 s
    And the client posts a job of one task of 900 ms
    Then the request is refused as not run

  Scenario: An attempt is not refused as not run after the answer to the one before was lost
    # The instance had forgotten the job, and no allocator was there to know it.
    Given a pool of 6 instances in zones "a b c" with 12 workers
    When 2 s pass in the pool
    Given a client of an instance other than the allocator
    When the client posts a job of one task of 900 ms
    And 2 s pass in the pool
    Then the request is answered with its result
    When every other instance is killed
    And 1 s pass in the pool
    And its owner is cut off from the store
    And the client posts the job again
    And 5 s pass in the pool
    Then the request is answered as one of unknown outcome
