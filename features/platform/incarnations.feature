Feature: Calls that are meant for one incarnation of a worker

  # A connection ends with the process that accepted it. So the response to a status
  # poll shows whom later calls on the same connection reach. A start that had waited
  # in a frozen process was carried out by a worker that had restarted. Review case 2.

  Background:
    Given connections to a worker

  Scenario: A start follows on the connection on which its incarnation has answered
    When a start is ordered from incarnation 7
    Then the worker has received "hold"
    When the worker answers as incarnation 7
    Then the worker has received "run-start"
    When the worker accepts
    Then the start is accepted

  Scenario: A connection is identified only once
    When a start is ordered from incarnation 7
    And the worker answers as incarnation 7
    And the worker accepts
    And a start is ordered from incarnation 7
    Then the worker has received "run-start"

  Scenario: A start does not reach another incarnation
    When a start is ordered from incarnation 7
    And the worker answers as incarnation 8
    Then the start is refused as "other_life"
    And the worker has received nothing more

  Scenario: A start on a connection to an earlier incarnation does not reach a later one
    When a start is ordered from incarnation 7
    And the worker answers as incarnation 7
    And the worker accepts
    And the worker closes the connection
    And a start is ordered from incarnation 7
    And the worker answers as incarnation 8
    Then the start is refused as "other_life"

  Scenario: A start whose connection is lost before it was sent has certainly not started
    When a start is ordered from incarnation 7
    And the worker closes the connection
    Then the start is refused as "unreached"

  Scenario: A start that gets no answer to the handshake in time has certainly not started
    When a start is ordered from incarnation 7
    And the worker is silent for 0.3 s
    Then the start is refused as "unreached"
    When the worker answers as incarnation 7
    Then the worker has received nothing more

  Scenario: A worker that has seen a higher token refuses a start in the handshake
    When a start is ordered from incarnation 7
    And the worker refuses with "fence"
    Then the start is refused as "fenced"

  Scenario: A stop may reach any incarnation
    When a stop is ordered
    Then the worker has received "run-stop"

  Scenario: A poll extends no lease and acknowledges no end of another incarnation
    # Positions of ends start anew with each incarnation.
    When incarnation 7 is polled with a lease and the ends up to 57
    Then the worker has received "hold" without a lease and ends
    When the worker answers as incarnation 8
    Then the poll returns the report of incarnation 8
    And the worker has received nothing more

  Scenario: A poll of the present incarnation extends its lease
    When incarnation 7 is polled with a lease and the ends up to 57
    And the worker answers as incarnation 7
    Then the worker has received "hold" with a lease and the ends up to 57
