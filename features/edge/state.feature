Feature: State dump

  Scenario: The dump explains what the instance does
    Given an instance in memory
    And a client that waits for a submission
    When the operator reads the state dump
    Then the dump has sections instance, configuration, submissions, queues, slots, upstreams, peers, decisions
    And the dump shows 1 open submission with its owner and 1 waiting client
    And the dump shows 0 waiting and 1 running task of class normal and team office
    And the dump shows the decision of part configuration with its reason
    And the dump holds no token

  Scenario: The dump says why an instance takes no work
    Given an instance in memory
    And a client that waits for a submission
    When the instance is asked to stop
    And the operator reads the state dump
    Then the instance of the dump is not ready because a planned stop is in progress

  Scenario: A part that can't be described leaves the rest of the dump
    Given an instance in memory
    And a part that can't be described
    When the operator reads the state dump
    Then the dump has sections instance, configuration, submissions, queues, slots, upstreams, peers, decisions
    And the section of that part says that it failed

  Scenario: Decisions are bounded and repeats are counted
    Given a ring of 3 decisions
    When the decisions a, b, b, c, d are noted
    Then the ring holds d once, c once, b twice

  Scenario: The dump shows a bounded part of many submissions
    Given an instance in memory
    When 300 clients submit a task each
    And the operator reads the state dump
    Then the dump counts 300 open submissions and shows 200
