Feature: Jobs whose allocator is lost before it has started them

  Background:
    Given a pool of 8 instances in zones "a b c d" with 16 workers and links of 100 kB/s
    When 2 s pass in the pool

  Scenario: Jobs that have reached no worker start at once in the other zones
    When the zone of the allocator is cut off
    And 20 jobs per second of 2 tasks of 200 ms are submitted outside it for 0.4 s
    And 3 s pass in the pool
    Then each of these jobs is complete within 1140 ms
    And no invariant is violated

  Scenario: A job that has reached no worker is refused as not run in time
    When a job of 2 tasks of 60 ms is submitted away from the allocator, whose instance is cut off
    And 3 s pass in the pool
    Then the last job is refused as not run within 1000 ms
    And no invariant is violated

  Scenario: A job with a known start is not refused as not run
    When a job of 2 tasks of 60 ms starts, and its instance is cut off before the ends
    And 3 s pass in the pool
    Then the outcome of the last job is unknown
    And no invariant is violated

  Scenario Outline: Turns of the candidates for the next term
    Given instances "<ranked>" in zones "<zones>", of which "a1" was the allocator
    Then they take turns in the order "<order>"

    Examples:
      | ranked      | zones   | order    |
      | a1 a2 b1 b2 | a a b b | b1 b2 a2 |
      | a1 b1 a2 c1 | a b a c | b1 c1 a2 |

  Scenario Outline: A poll that most instances have answered is over
    Given an election poll of <others> other instances
    When <silent> answer that they follow no allocator, and <served> that they follow one
    Then the poll is <state>

    Examples:
      | others | silent | served | state |
      | 8      | 5      | 0      | over  |
      | 8      | 4      | 0      | open  |
      | 8      | 7      | 1      | open  |
      | 0      | 0      | 0      | open  |

  Scenario: The claim of an allocator that has restarted delays no other
    When the allocator is killed
    And 2 s pass in the pool
    And every instance is killed and starts again
    Then an instance allocates within 400 ms

  Scenario Outline: Claims of instances that have not connected
    Given the row of another instance was first seen <seen> ms before a poll
    When it is read <later> ms after the poll, and its instance has answered <answer>
    Then the claim is <state>

    Examples:
      | seen | later | answer         | state    |
      | 100  | 50    | that it is new | over     |
      | -10  | 50    | that it is new | expected |
      | 100  | 50    | with a term    | expected |
      | 100  | 50    | nothing        | expected |
      | 460  | 50    | nothing        | over     |
