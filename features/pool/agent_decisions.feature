Feature: Decisions about agents, heartbeats and shared state

  Scenario Outline: An allocator calls the workers itself while its link has room
    Given a link of <mbps> Mbit/s and <workers> workers
    When calls were <before> before
    Then calls are <after>

    Examples:
      | mbps | workers | before      | after       |
      | 1000 | 24      | made by agents | direct         |
      | 1000 | 64      | made by agents | direct         |
      | 1000 | 65      | made by agents | made by agents |
      | 1000 | 80      | direct         | direct         |
      | 1000 | 81      | direct         | made by agents |
      | 12.5 | 24      | made by agents | made by agents |
      | 2    | 48      | direct         | made by agents |

  Scenario: Agents get workers of their zone in proportion to their cores
    Given instances of 1 and 4 cores in each of the zones "a b c"
    When agents are chosen for 600 workers in zone "b"
    Then every agent is in zone "b"
    And the one with 4 cores has 75 to 85 of 100 workers

  Scenario: The loss of an agent moves only its workers
    Given instances of 1 and 4 cores in each of the zones "a b c"
    When agents are chosen for 200 workers in zone "b"
    And the agent with 1 core in zone "b" is lost
    Then only the workers of that agent have another one

  Scenario: The allocator is the last agent to be chosen
    Given instances of 1 and 4 cores in each of the zones "a b c"
    Then the ranking of every worker ends with the allocator
    And each instance is in the ranking once

  Scenario Outline: Few instances read the worker list for an allocator at first
    # All of 97 instances sent it their list at once and filled its link.
    Given 97 instances of which 16 have reserved tokens
    Then <count> of them read the list when it is <age> ms old

    Examples:
      | age  | count |
      | 1000 | 0     |
      | 1200 | 2     |
      | 2200 | 4     |
      | 4200 | 16    |
      | 9000 | 97    |

  Scenario Outline: Heartbeats are sent on quiet links only
    When a link has sent <sent> ms ago, received <received> ms ago and beaten <beat> ms ago
    Then a heartbeat is <due>

    Examples:
      | sent | received | beat | due     |
      | 10   | 10       | 140  | not due |
      | 90   | 10       | 100  | due     |
      | 10   | 90       | 100  | due     |
      | 10   | 10       | 160  | due     |

  Scenario: A process that was paused reads before it judges its peers
    When checks run each 50 ms, but one is 3 s late
    Then only that check is skipped

  Scenario: Digests depend on the entries but not on their order
    Then digests of the same entries in another order are equal
    And a changed entry changes the digest

  Scenario Outline: Extra polls are repeated by the usual answer time
    When polls are usually answered within <usual> ms
    Then a poll without an answer is repeated after <repeat> ms

    Examples:
      | usual | repeat |
      | 2     | 50     |
      | 30    | 90     |
      | 200   | 200    |

  Scenario Outline: The worker list is read four times within the drain time
    When draining workers may get tasks for <drain> ms
    Then the worker list is read each <period> s

    Examples:
      | drain | period |
      | 2000  | 0.5    |
      | 4000  | 1      |
      | 500   | 0.25   |
      | 60000 | 1      |

  Scenario Outline: A start that was not sent is refused in the term that ordered it, <term>
    # The number of its call may be another call in the next term.
    Given a call in the term with token 2
    When the owner reports that it has not sent that call, with <token>
    Then the call is <state>

    Examples:
      | term                           | token    | state   |
      | the same term                  | token 2  | refused |
      | an earlier term                | token 1  | pending |
      | a build that tells no term     | no token | refused |

  Scenario: An agent's rejection in an earlier term is not sent to the next allocator
    Given an owner whose start is rejected after it has followed the next allocator
    Then the next allocator is told of no start that was not sent
