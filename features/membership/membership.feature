Feature: Membership

  Scenario: Everybody knows everybody soon after the start
    Given a mesh of 3 zones with 3 instances each
    When 3 s pass
    Then everybody sees every other instance alive

  Scenario: A newcomer that knows one address of another zone learns the rest
    Given a mesh of 3 zones with 3 instances each
    And 3 s pass
    When instance "zone-0/7" starts and knows only "zone-1/1"
    And 3 s pass
    Then everybody sees every other instance alive

  Scenario: A dead instance leaves every view within 5 s
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When instance "zone-1/0" is killed
    And 5 s pass
    Then everybody sees "zone-1/0" as dead or not at all

  Scenario Outline: Every place of a zone may die, link keepers too
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When instance "<first>" is killed
    And instance "<second>" is killed
    And 5 s pass
    Then everybody sees "<first>" as dead or not at all
    And everybody sees "<second>" as dead or not at all
    And everybody sees every other instance alive

    Examples:
      | first    | second   |
      | zone-1/0 | zone-1/1 |
      | zone-1/0 | zone-1/2 |
      | zone-1/1 | zone-1/2 |
      | zone-0/0 | zone-2/1 |

  Scenario Outline: A lost heartbeat or a short pause throws nobody out
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When <fault> strikes "zone-1/0"
    And 10 s are watched
    Then nobody ever saw "zone-1/0" dead

    Examples:
      | fault                                   |
      | the loss of one heartbeat to everybody  |
      | a pause of 500 ms                       |
      | a pause of 500 ms with a lost heartbeat |

  Scenario: An instance unheard by one zone peer is confirmed alive by the other
    Given a mesh of 1 zones with 3 instances each
    And 5 s pass
    When messages between "zone-0/0" and "zone-0/1" are cut
    And 20 s are watched
    Then nobody ever saw "zone-0/0" dead
    And nobody ever saw "zone-0/1" dead

  Scenario: A replaced process is dead as soon as its successor is heard
    Given a mesh of 2 zones with 2 instances each
    And 5 s pass
    When instance "zone-0/0" is replaced by a new process at its address
    And 1 s passes
    Then "zone-0/1" sees the replaced process dead
    And everybody sees every other instance alive

  Scenario: A late heartbeat of the replaced process changes nothing
    Given a mesh of 1 zones with 2 instances each
    And 5 s pass
    When the heartbeats of "zone-0/0" are held back for 3 s
    And instance "zone-0/0" is replaced by a new process at its address
    And 4 s pass
    Then "zone-0/1" sees the replaced process dead
    And everybody sees every other instance alive

  Scenario: A late heartbeat of a process that was never heard changes nothing
    Given a mesh of 1 zones with 2 instances each
    And 5 s pass
    When the heartbeats of "zone-0/0" are held back for 3 s
    And instance "zone-0/0" is replaced by a new process at its address
    And instance "zone-0/1" is replaced by a new process at its address
    And 6 s pass
    Then everybody sees every other instance alive

  Scenario: A stopping instance is told of at once
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When instance "zone-1/0" says that it leaves
    And 0.6 s passes
    Then everybody sees "zone-1/0" as leaving

  Scenario: A live heartbeat wins over a list that lacks the instance
    Given a mesh of 2 zones with 2 instances each
    And 5 s pass
    When the platform lists no instance at all
    And 10 s pass
    Then everybody sees every other instance alive

  Scenario: An instance that stood still judges nobody before it hears them
    Given a mesh of 2 zones with 3 instances each
    And 5 s pass
    When instance "zone-0/0" is frozen for 30 s
    Then "zone-0/0" never took anybody for dead
    And "zone-0/0" sees every other instance alive
    And within 2 s everybody sees every other instance alive

  Scenario: A zone that was cut off is seen again soon after the cut
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When zone "zone-2" is cut off from the others
    And 6 s pass
    Then "zone-0/0" sees all of "zone-2" dead
    And "zone-2/0" sees all of "zone-0" dead
    And "zone-2/0" sees "zone-2/1" alive
    When the cut ends
    Then within 3 s everybody sees every other instance alive

  Scenario: Delayed and reordered messages throw nobody out
    Given a mesh of 3 zones with 3 instances each
    And messages take up to 1.2 s and overtake each other
    And 5 s pass
    When 20 s are watched
    Then nobody ever saw "zone-1/0" dead

  Scenario: A zone's list crosses the border only when it changes
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    Then no list of a zone is sent in the next 8 s

  Scenario: A list that is lost on its way is asked for, and harms nobody
    Given a mesh of 3 zones with 3 instances each
    And 5 s pass
    When instance "zone-1/0" is killed
    And the lists of zones are lost from now on
    And 6 s are watched
    Then everybody sees "zone-1/0" as dead or not at all
    And nobody ever saw "zone-1/1" dead
    And everybody sees every other instance alive
