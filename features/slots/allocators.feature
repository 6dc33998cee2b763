Feature: Loss, change, freeze and partition of slot allocators

  Scenario: The live instance with the highest hash allocates
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When 1 s pass in the fleet
    Then exactly 1 instance allocates zone "a"

  Scenario: A new allocator waits one lease time before it grants slots that may be held
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When every instance queues 1000 tasks of 200 ms
    And 4 s pass in the fleet
    And the allocator of zone "a" is killed and declared dead
    And 2.5 s pass in the fleet
    Then no more slots are held than the upstreams have
    And exactly 1 instance allocates zone "a"
    When 4 s pass in the fleet
    Then at least 20 tasks run in the fleet

  Scenario: Instances use equal shares while no allocator answers
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When 1 s pass in the fleet
    And every message is lost
    And every instance queues 300 tasks of 200 ms
    And 2 s pass in the fleet
    Then at least 23 tasks run in the fleet

  Scenario: A frozen allocator blocks no instance, and its thaw oversubscribes no upstream
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When 1 s pass in the fleet
    And the allocator of zone "a" freezes
    And every instance queues 300 tasks of 200 ms
    And 2 s pass in the fleet
    Then at least 20 tasks run in the fleet
    When the allocator of zone "a" thaws
    And 5 s pass in the fleet
    Then no more slots are held than the upstreams have

  Scenario: A partitioned zone keeps using its own upstreams
    Given 2 instances in zones "a b" with 2 upstreams of 4 slots each
    When 1 s pass in the fleet
    And the zones are partitioned
    And instance 0 queues 40 tasks of 100 ms
    And 4 s pass in the fleet
    Then instance 0 has no waiting task

  Scenario: Lost messages delay slots but never leak them
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When one message in 4 is lost
    And every instance queues 100 tasks of 200 ms
    And 12 s pass in the fleet
    And no message is lost
    And 8 s pass in the fleet
    Then every task has ended
    And the allocator of zone "a" has at least 18 free slots

  Scenario: All tasks end although two instances allocate the same zone
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When 1 s pass in the fleet
    And instance 0 loses sight of its peers and allocates
    And every instance queues 60 tasks of 200 ms
    And 15 s pass in the fleet
    Then every task has ended
