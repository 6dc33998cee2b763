Feature: Allocators that are lost, moved, frozen or cut off

  Scenario: The live instance with the highest hash allocates
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When 1 s pass in the fleet
    Then exactly 1 instance allocates zone "a"

  Scenario: A new allocator grants nothing that may be held for one lease
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When every instance queues 1000 tasks of 200 ms
    And 4 s pass in the fleet
    And the allocator of zone "a" is killed and believed dead
    And 2.5 s pass in the fleet
    Then no more slots are held than the upstreams have
    And exactly 1 instance allocates zone "a"
    When 4 s pass in the fleet
    Then at least 20 tasks run in the fleet

  Scenario: Without an allocator that answers each uses an equal share
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When 1 s pass in the fleet
    And every message is lost
    And every instance queues 300 tasks of 200 ms
    And 2 s pass in the fleet
    Then at least 23 tasks run in the fleet

  Scenario: A frozen allocator stops nobody, and thawed changes nothing
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When 1 s pass in the fleet
    And the allocator of zone "a" freezes
    And every instance queues 300 tasks of 200 ms
    And 2 s pass in the fleet
    Then at least 20 tasks run in the fleet
    When the allocator of zone "a" thaws
    And 5 s pass in the fleet
    Then no more slots are held than the upstreams have

  Scenario: A zone cut off goes on with its own upstreams
    Given 2 instances in zones "a b" with 2 upstreams of 4 slots each
    When 1 s pass in the fleet
    And the zones are cut off from each other
    And instance 0 queues 40 tasks of 100 ms
    And 4 s pass in the fleet
    Then instance 0 has no waiting task

  Scenario: Lost messages cost time and never a slot for good
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When one message in 4 is lost
    And every instance queues 100 tasks of 200 ms
    And 12 s pass in the fleet
    And no message is lost
    And 8 s pass in the fleet
    Then every task has ended
    And the allocator of zone "a" has at least 18 free slots

  Scenario: Two allocators for a moment only oversubscribe
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When 1 s pass in the fleet
    And instance 0 alone believes that it allocates
    And every instance queues 60 tasks of 200 ms
    And 15 s pass in the fleet
    Then every task has ended
