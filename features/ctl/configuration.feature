Feature: The command line shows, compares and waits for configurations

  Scenario: The live version and its document are shown
    Given a fake instance
    And version 7 of the configuration is {"teams": {"office": {"weight": 2}}}
    When guavaroadctl is called with "config show"
    Then it exits with 0
    And it prints "version 7"
    And it prints ""weight": 2"

  Scenario: A diff lists the base version and each changed value
    Given a fake instance
    And version 7 of the configuration is {"teams": {"a": {"weight": 2}, "b": {}}}
    When the patch {"teams": {"a": {"weight": 3}, "b": null, "c": {"weight": 1}}} is given to "config diff"
    Then it exits with 0
    And it prints the lines
      """
      base version 7
      ~ teams.a.weight: 2 -> 3
      - teams.b: {}
      + teams.c.weight: 1
      """

  Scenario: A diff against an empty configuration lists each value
    Given a fake instance
    And version 0 of the configuration is {}
    When the patch {"teams": {"a": {}, "b": {"weight": 1}}} is given to "config diff"
    Then it exits with 0
    And it prints the lines
      """
      base version 0
      + teams.a: {}
      + teams.b.weight: 1
      """

  Scenario: A diff of an invalid patch lists the errors
    Given a fake instance
    And version 7 of the configuration is {}
    When the patch {"teams": {"a": {"wait": 3}}} is given to "config diff"
    Then it exits with 5
    And it prints "not valid: teams.a.wait"

  Scenario: A diff without a change reports that there is none
    Given a fake instance
    And version 7 of the configuration is {"teams": {}}
    When the patch {} is given to "config diff"
    Then it exits with 0
    And it prints "no change"

  Scenario: A patch is not sent to another instance after a lost connection
    Given 2 fake instances
    And the connection of a patch is closed without an answer
    When the patch {} is given to "config patch 3"
    Then it exits with 4
    And it notes "sent, but no answer"
    And the patch was sent once

  Scenario: A patch must be a JSON object
    Given a fake instance
    When the patch [] is given to "config patch 3"
    Then it exits with 1
    And it notes "not a JSON object"
    And nothing was sent

  Scenario: A wait ends when every instance serves the version
    Given 2 fake instances
    And the instances serve versions [3, 2] then [3, 2] then [3, 4]
    When guavaroadctl is called with "config wait 3"
    Then it exits with 0
    And it prints "all 2 instances serve version 3 or later"

  Scenario: A wait that times out counts the instances that are behind
    Given 2 fake instances
    And the instances serve versions [3, null]
    When guavaroadctl is called with "config wait 3 --timeout_s=0.6"
    Then it exits with 7
    And it prints "1 of 2 instances do not serve version 3 yet"

  Scenario: Instances known only from a peer are listed
    Given 2 fake instances
    And the instances serve versions [3, 4]
    When guavaroadctl is called with "instances --output=json"
    Then it exits with 0
    And it prints "kigali-1"
    And it prints ""config_version": 4"

  Scenario: The upstream records of the instances are merged
    Given 2 fake instances
    And the instances serve versions [3, 4]
    When guavaroadctl is called with "upstreams"
    Then it exits with 0
    And it prints the lines
      """
      NAME  ZONE  ADDRESS  SLOTS  RUNNING  STATE                       REASON
      up-1  -     -        8      4        ejected by 1, serving by 1  5 failures in a row
      """
