Feature: The command line explains the outcome of a request from logs

  Scenario: A request refused under load is explained
    Given log lines of a request that was refused under load
    When the request is explained
    Then it exits with 0
    And it prints "overloaded expected wait 2.31 s behind 900 core-seconds"
    And it prints "cause: NotRun: refused on arrival because too much work was queued"

  Scenario: An outcome unknown after the allocator crashed is explained
    Given log lines of a request whose allocator crashed
    When the request is explained
    Then it exits with 0
    And it prints "allocator_lost"
    And it prints "cause: OutcomeUnknown: started, but not complete at its deadline"

  Scenario: An answer delayed by a slow worker is explained
    Given log lines of a request that a slow worker delayed
    When the request is explained
    Then it exits with 0
    And it prints "run_moved"
    And it prints "cause: completed after 1905 ms, 1261 ms past its objective by the estimate"

  Scenario: A request that is not in the logs is reported as not found
    Given log lines of a request that was refused under load
    When another request is explained
    Then it exits with 7

  Scenario: Truncated, unstructured and unrelated lines are skipped
    Given log lines of a request that was refused under load
    And truncated, unstructured and unrelated lines in the same log
    When the request is explained
    Then it exits with 0
    And it prints "cause: NotRun"
