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
