Feature: State dump

  Scenario: The dump describes the work of the instance
    Given an instance in memory
    And a client that waits for a submission
    When the operator reads the state dump
    Then the dump has sections instance, configuration, submissions, queues, slots, upstreams, peers, decisions
    And the dump shows 1 open submission with its owner and 1 waiting client
    And the dump shows 0 waiting and 1 running task of class normal and team office
    And the dump shows the decision of part configuration with its reason
    And the dump contains no token

  Scenario: The dump gives the reason why an instance is not ready
    Given an instance in memory
    And a client that waits for a submission
    When the instance is asked to stop
    And the operator reads the state dump
    Then the instance of the dump is not ready because a planned stop is in progress

  Scenario: A section that raises an error leaves the other sections intact
    Given an instance in memory
    And a section that raises an error
    When the operator reads the state dump
    Then the dump has sections instance, configuration, submissions, queues, slots, upstreams, peers, decisions
    And that section reports its failure

  Scenario: The decision history is bounded and counts repeats
    Given a history of 3 decisions
    When the decisions a, b, b, c, d are recorded
    Then the history holds d once, c once, b twice

  Scenario: The dump lists a bounded number of submissions
    Given an instance in memory
    When 300 clients submit a task each
    And the operator reads the state dump
    Then the dump counts 300 open submissions and shows 200
