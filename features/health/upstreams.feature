Feature: Failing upstreams, failing jobs and leaving upstreams

  Scenario: An upstream that fails immediately is ejected and gets no extra work
    Given a dispatcher with 4 upstreams of 2 slots
    And upstream "up-0" fails every task immediately
    When team "office" queues 200 normal jobs "render" of 1 tasks
    And the tasks run for 2 s
    Then upstream "up-0" is ejected
    And upstream "up-0" has started at most 9 tasks

  Scenario: An ejected upstream returns after one successful probe
    Given a dispatcher with 4 upstreams of 2 slots
    And upstream "up-0" fails every task immediately
    When team "office" queues 200 normal jobs "render" of 1 tasks
    And the tasks run for 3 s
    And upstream "up-0" recovers
    And the tasks run for 3 s
    And team "office" queues 20 normal jobs "render" of 1 tasks
    And the tasks run for 2 s
    Then upstream "up-0" is healthy

  Scenario: The fraction of ejected upstreams is limited
    Given a dispatcher with 10 upstreams of 1 slots
    And every upstream fails every task immediately
    When team "office" queues 300 normal jobs "render" of 1 tasks
    And team "rival" queues 300 normal jobs "order" of 1 tasks
    And the tasks run for 4 s
    Then at most 3 upstreams are ejected

  Scenario: A job that fails everywhere is suspended and no upstream ejected
    Given a dispatcher with 6 upstreams of 2 slots
    And job "broken" fails on every upstream
    When team "office" queues 60 normal jobs "render" of 2 tasks
    And team "office" queues 100 normal jobs "broken" of 1 tasks
    And the tasks run for 3 s
    Then at most 0 upstreams are ejected
    And job "broken" is refused as suspended
    And job "render" is not refused

  Scenario: An upstream with an outlying success rate is ejected
    Given a dispatcher with 4 upstreams of 2 slots
    When the upstreams "up-1 up-2 up-3" succeed 30 times each
    And the upstream "up-0" fails 2 of every 3 tasks, 30 in all
    And the tasks run for 6 s
    Then upstream "up-0" is ejected

  Scenario Outline: Nothing starts at an upstream after the first notice
    Given a dispatcher with 2 upstreams of 2 slots
    When <notice> that "up-0" leaves
    And team "office" queues 20 normal jobs "render" of 1 tasks
    And the tasks run for 2 s
    Then upstream "up-0" has started at most 0 tasks
    And 20 tasks have started

    Examples:
      | notice             |
      | the platform lists |
      | a peer reports     |

  Scenario: A leaving upstream's refusal closes it and is forwarded to peers
    Given a dispatcher with 2 upstreams of 2 slots
    And upstream "up-0" refuses every task because it leaves
    When team "office" queues 20 normal jobs "render" of 1 tasks
    And the tasks run for 2 s
    Then upstream "up-0" has started at most 2 tasks
    And the peers are notified once that "up-0" leaves

  Scenario: A stale list does not revoke an earlier notice
    Given a dispatcher with 2 upstreams of 2 slots
    When a peer reports that "up-0" leaves
    And the platform lists every upstream as not leaving
    And team "office" queues 20 normal jobs "render" of 1 tasks
    And the tasks run for 2 s
    Then upstream "up-0" has started at most 0 tasks
