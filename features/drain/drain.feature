Feature: Planned stop

  Scenario: A stop waits for work in progress and interrupts nothing
    Given an instance in memory
    And a client that waits for a submission
    When the instance is asked to stop
    Then it is not ready
    And a new submission is refused with DRAINING
    And the stop is in progress after 5 seconds
    When the upstream answers
    Then the waiting client has its complete answer
    And the stop ends without interrupting work

  Scenario: A known id may join its submission during a stop
    Given an instance in memory
    And a client that waits for a submission
    When the instance is asked to stop
    And the same id is submitted again
    And the upstream answers
    Then both clients have the same answer
    And the stop ends without interrupting work

  Scenario: The time limit ends a stop and reports the interrupted work
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
    Then the stop ends without interrupting work
    And the idle connection is closed

  Scenario: Work is handed over first and leases are returned last
    Given an instance in memory
    And a client that waits for a submission
    And hooks that take 4 seconds
    When the instance is asked to stop
    Then the hooks called so far are leaving, handover
    When the upstream answers
    Then the hooks called so far are leaving, handover
    When 3 seconds pass
    Then the hooks called so far are leaving, handover, release
    When 3 seconds pass
    Then the stop ends without interrupting work

  Scenario: A hook that fails does not hold up a stop
    Given an instance in memory
    And a hook that fails
    When the instance is asked to stop
    Then the stop ends without interrupting work

  Scenario: A process that is told to stop answers every request and exits 0
    Given a running instance with requests in progress at its upstream
    When the process gets SIGTERM
    Then every request in progress gets its complete answer
    And the process ends with code 0 and every task ran once

  Scenario: A process that is signalled twice logs the interrupted work
    Given a running instance with requests in progress at its upstream
    When the process gets SIGTERM
    And the process gets SIGTERM
    Then the process ends with code 1 and its log lists the interrupted work

  Scenario: A process that exceeds its time limit logs the interrupted work
    Given a running instance with requests in progress at its upstream and a time limit of 0.3 seconds
    When the process gets SIGTERM
    Then the process ends with code 1 and its log lists the interrupted work
