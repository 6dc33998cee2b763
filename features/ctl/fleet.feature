Feature: The command line discovers the fleet from one address

  Scenario: Instances and upstreams are listed, and a patch is waited for
    Given a running fleet of 2 availability zones
    And the command line has only the address of the first instance
    When the operator patches version 0 with {"teams": {"office": {}}}
    And the operator calls "config wait 1"
    Then it exits with 0
    And it prints "all 2 instances serve version 1"
    When the operator calls "instances"
    Then it exits with 0
    And every instance of the fleet is listed
    When the operator calls "upstreams"
    Then it exits with 0
    And every upstream of the fleet is listed
    When the operator calls "state all"
    Then it exits with 0
    And every instance of the fleet is listed

  Scenario: Tasks from standard input are answered on standard output
    Given a running fleet of 2 availability zones
    And the configuration has job "render" for team "office"
    And the command line has only the address of the first instance
    And standard input is "{\"run_ms\": 20, \"echo\": 1}\n{\"run_ms\": 5, \"echo\": 2}"
    When team "office" calls "submit render -"
    Then it exits with 0
    And it prints "1000 COMPLETE"
    And it prints "{"echo":2,"
