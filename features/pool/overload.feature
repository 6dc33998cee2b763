Feature: Overload

  Scenario: A flood of long jobs does not delay urgent jobs
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And long jobs arrive at 3 times the capacity for 4 s beside 20 urgent jobs per second
    Then at least 95 of 100 urgent jobs are complete in time
    And no invariant is violated

  Scenario: Jobs that can't be served are refused at once with a retry hint
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And long jobs arrive at 3 times the capacity for 4 s beside 20 urgent jobs per second
    Then most refusals are sent within 50 ms
    And every refusal has a retry hint
    And no answer is sent after the timeout of its client
    And no invariant is violated

  Scenario: Under overload whole jobs are served rather than parts of many
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And long jobs arrive at 3 times the capacity for 4 s beside 0 urgent jobs per second
    Then at least 85 of 100 starts are for complete jobs

  Scenario: The cost of a placement pass does not grow with the queue
    Then a pass over 5000 waiting jobs examines no more jobs than one over 50
