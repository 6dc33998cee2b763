Feature: Choice when more work arrives than the workers can do

  The load: three kinds of job in a burst beyond the capacity, with estimates off
  by 40 % and some tasks seven times as long.

  Scenario: Beyond the capacity more callers are served in time
    When a burst at 1.5 times the capacity is replayed for 5 s on 60 workers
    Then the share served in time is higher by 0.04 than without the choice
    And it is at least 0.6 of that of an oracle that knows all lengths
    And at most 10 % of the answers are late

  Scenario: Nobody is refused while there is room
    When a burst at 1.5 times the capacity is replayed for 5 s on 60 workers
    Then no job is refused on arrival whose tasks fit on the usable workers
    And no refused job has started

  Scenario: Refusals come at once
    When a burst at 1.5 times the capacity is replayed for 5 s on 60 workers
    Then 9 of 10 refusals come within a tenth of the time of the client

  Scenario: Every kind and size keeps its floor
    When a burst at 1.5 times the capacity is replayed for 8 s on 60 workers
    Then each kind is served at least half as often as the whole
    And the largest tenth of a kind and the fifth below it are served at least half as often as the kind

  Scenario: A crowd behind one instance does not take the room of the others
    When a burst at 1.5 times the capacity is replayed for 5 s on 60 workers with half of the jobs at one instance
    Then the other instances are served at least as often as that one

  Scenario: Below the capacity nothing is refused
    When a burst at 0.4 times the capacity is replayed for 5 s on 60 workers
    Then no job is refused

  Scenario: Refused clients return one after another
    When a burst at 1.5 times the capacity is replayed for 5 s on 60 workers
    Then no tenth of a second is the return time of more than a tenth of the refused

  Scenario: Jobs that have waited for a new allocator do not count as a burst
    Given an allocator of 4 workers that has taken over
    When 200 jobs are declared that have waited for 1 s
    Then their kind does not count as short of room
    And none of them is evicted in 0.4 s

  Scenario: A job that returns after a refusal is preferred
    Given a pool whose callers have been refused in turn
    Then a job that was refused may wait longer than a new one
