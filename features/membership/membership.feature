Feature: Membership

  Scenario: All instances see each other soon after the start
    Given a mesh of 3 zones with 3 instances each
    When 3 s pass
    Then every instance sees every other one alive

  Scenario: A new instance with one seed in another zone discovers all others
    Given a mesh of 3 zones with 3 instances each
    And 3 s pass
    When instance "zone-0/7" starts with the only seed "zone-1/1"
    And 3 s pass
    Then every instance sees every other one alive

  Scenario: A killed instance is dead in every view within 5 s
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When instance "zone-1/0" is killed
    And 5 s pass
    Then every instance sees "zone-1/0" as dead or not at all

  Scenario Outline: Any two instances may die, also those that send zone reports
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When instance "<first>" is killed
    And instance "<second>" is killed
    And 5 s pass
    Then every instance sees "<first>" as dead or not at all
    And every instance sees "<second>" as dead or not at all
    And every instance sees every other one alive

    Examples:
      | first    | second   |
      | zone-1/0 | zone-1/1 |
      | zone-1/0 | zone-1/2 |
      | zone-1/1 | zone-1/2 |
      | zone-0/0 | zone-2/1 |

  Scenario Outline: A lost heartbeat or a short pause makes no instance dead
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When <fault> affects "zone-1/0"
    And the views are observed for 10 s
    Then no instance ever saw "zone-1/0" dead

    Examples:
      | fault                                      |
      | the loss of one heartbeat to all instances |
      | a pause of 500 ms                          |
      | a pause of 500 ms with a lost heartbeat    |

  Scenario: An instance cut off from one zone peer is confirmed alive by the other
    Given a mesh of 1 zones with 3 instances each
    And 5 s pass
    When messages between "zone-0/0" and "zone-0/1" are cut
    And the views are observed for 20 s
    Then no instance ever saw "zone-0/0" dead
    And no instance ever saw "zone-0/1" dead

  Scenario: A replaced process is dead as soon as its successor sends a heartbeat
    Given a mesh of 2 zones with 2 instances each
    And 5 s pass
    When instance "zone-0/0" is replaced by a new process at its address
    And 1 s passes
    Then "zone-0/1" sees the replaced process dead
    And every instance sees every other one alive

  Scenario: A late heartbeat of the replaced process has no effect
    Given a mesh of 1 zones with 2 instances each
    And 5 s pass
    When the heartbeats of "zone-0/0" are delayed by 3 s
    And instance "zone-0/0" is replaced by a new process at its address
    And 4 s pass
    Then "zone-0/1" sees the replaced process dead
    And every instance sees every other one alive

  Scenario: A late heartbeat of a replaced process has no effect on a new instance
    Given a mesh of 1 zones with 2 instances each
    And 5 s pass
    When the heartbeats of "zone-0/0" are delayed by 3 s
    And instance "zone-0/0" is replaced by a new process at its address
    And instance "zone-0/1" is replaced by a new process at its address
    And 6 s pass
    Then every instance sees every other one alive

  Scenario: A stopping instance is announced immediately
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When instance "zone-1/0" announces that it leaves
    And 0.6 s passes
    Then every instance sees "zone-1/0" as leaving

  Scenario: Instances that send heartbeats stay alive if the list lacks them
    Given a mesh of 2 zones with 2 instances each
    And 5 s pass
    When the platform lists no instances
    And 10 s pass
    Then every instance sees every other one alive

  Scenario: An instance sees no peer as dead after a pause of its own
    Given a mesh of 2 zones with 3 instances each
    And 5 s pass
    When instance "zone-0/0" is frozen for 30 s
    Then "zone-0/0" never saw any instance dead
    And "zone-0/0" sees every other instance alive
    And within 2 s every instance sees every other one alive

  Scenario: A partitioned zone is seen alive soon after the partition ends
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When zone "zone-2" is partitioned from the others
    And 6 s pass
    Then "zone-0/0" sees all of "zone-2" dead
    And "zone-2/0" sees all of "zone-0" dead
    And "zone-2/0" sees "zone-2/1" alive
    When the partition ends
    Then within 3 s every instance sees every other one alive

  Scenario: Delayed and reordered messages make no instance dead
    Given a mesh of 3 zones with 3 instances each
    And messages are delayed by up to 1.2 s and reordered
    And 5 s pass
    When the views are observed for 20 s
    Then no instance ever saw "zone-1/0" dead

  Scenario: Zone records are sent to other zones only when they change
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    Then no zone records are sent in the next 8 s

  Scenario: Lost zone records are requested again and make no instance dead
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When instance "zone-1/0" is killed
    And all zone records are lost from now on
    And the views are observed for 6 s
    Then every instance sees "zone-1/0" as dead or not at all
    And no instance ever saw "zone-1/1" dead
    And every instance sees every other one alive
