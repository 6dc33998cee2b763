Feature: Planned stop

  Scenario: A stop waits for the work in progress and cuts nothing
    Given an instance in memory
    And a client that waits for a submission
    When the instance is asked to stop
    Then it is not ready
    And a new submission is refused with DRAINING
    And the stop goes on after 5 seconds
    When the upstream answers
    Then the waiting client has its whole answer
    And the stop ends with nothing cut

  Scenario: A known id may join its submission during a stop
    Given an instance in memory
    And a client that waits for a submission
    When the instance is asked to stop
    And the same id is submitted again
    And the upstream answers
    Then both clients have the same answer
    And the stop ends with nothing cut

  Scenario: The bound ends a stop and says what it cut
    Given an instance in memory
    And a client that waits for a submission
    When the instance is asked to stop
    Then after 30 seconds the stop is cut short with 1 requests and 1 submissions

  Scenario: A second signal ends a stop at once
    Given an instance in memory
    And a client that waits for a submission
    When the instance is asked to stop
    And the instance is asked to stop
    Then the stop is cut short because a second signal came

  Scenario: An idle connection does not hold up a stop
    Given an instance in memory
    And a client with an idle connection
    When the instance is asked to stop
    Then the stop ends with nothing cut
    And the idle connection is closed

  Scenario: Work is handed over first and leases are given back last
    Given an instance in memory
    And a client that waits for a submission
    And hooks of other parts that take 4 seconds
    When the instance is asked to stop
    Then the hooks called so far are leaving, handover
    When the upstream answers
    Then the hooks called so far are leaving, handover
    When 3 seconds pass
    Then the hooks called so far are leaving, handover, release
    When 3 seconds pass
    Then the stop ends with nothing cut

  Scenario: A hook that fails does not hold up a stop
    Given an instance in memory
    And a hook that fails
    When the instance is asked to stop
    Then the stop ends with nothing cut

  Scenario: A real instance that is told to stop answers every request and exits 0
    Given a running instance with requests in progress at its upstream
    When the process gets SIGTERM
    Then every request in progress gets its whole answer
    And the process ends with code 0 and every task ran once

  Scenario: A real instance that is signalled twice says what it cut
    Given a running instance with requests in progress at its upstream
    When the process gets SIGTERM
    And the process gets SIGTERM
    Then the process ends with code 1 and its log says what was cut

  Scenario: A real instance that passes the bound says what it cut
    Given a running instance with requests in progress at its upstream and a bound of 0.3 seconds
    When the process gets SIGTERM
    Then the process ends with code 1 and its log says what was cut
