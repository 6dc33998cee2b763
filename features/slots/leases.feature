Feature: Slots are leased to the instances that wait

  Scenario: One instance gets the slots that the others do not use
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When instance 0 queues 60 tasks of 500 ms
    And 1 s pass in the fleet
    Then instance 0 runs at least 20 tasks
    And no upstream refused a task as busy

  Scenario: A freed slot goes to the least served job
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When instance 0 queues 400 tasks of 500 ms
    And 2 s pass in the fleet
    And instance 1 queues 2 tasks of 500 ms
    And instance 2 queues 30 tasks of 500 ms
    And 1 s pass in the fleet
    Then instance 1 has no waiting task
    And instance 2 runs between 9 and 15 tasks
    And instance 0 runs between 9 and 15 tasks
    And no upstream refused a task as busy

  Scenario: Idle slots are returned after the idle timeout, except for a reserve
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When instance 0 queues 24 tasks of 100 ms
    And 5 s pass in the fleet
    Then instance 0 holds at most 2 slots

  Scenario: Slots of another zone are requested when the own zone is full
    Given 2 instances in zones "a b" with 2 upstreams of 4 slots each
    When instance 0 queues 60 tasks of 500 ms
    And 1 s pass in the fleet
    Then instance 0 runs at least 14 tasks
    And no upstream refused a task as busy

  Scenario: A draining instance returns every slot as its task ends
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When instance 0 queues 12 tasks of 500 ms
    And 0.1 s pass in the fleet
    And instance 0 drains
    And 1 s pass in the fleet
    Then instance 0 holds at most 0 slots

  Scenario: Slots of a leaving upstream are no longer granted
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When the platform lists upstream "a-up-0" as leaving
    And instance 0 queues 200 tasks of 100 ms
    And 3 s pass in the fleet
    Then nothing has started at upstream "a-up-0"
    And instance 0 has no waiting task

  Scenario: A burst at one instance of an idle fleet uses every slot
    Given 9 instances in zone "a" with 24 upstreams of 8 slots
    When 1 s pass in the fleet
    And instance 0 queues 850 tasks of 200 ms
    And 0.1 s pass in the fleet
    Then instance 0 runs at least 190 tasks
    When 1 s pass in the fleet
    Then instance 0 has no waiting task
    And no upstream refused a task as busy

  Scenario: An instance without peers computes its share from the platform's list
    Given 3 instances in zone "a" with 4 upstreams of 6 slots
    When instance 0 restarts and knows its peers only from the platform's list
    Then the equal share of instance 0 is 8 slots
    And instance 0 holds at most 8 slots
