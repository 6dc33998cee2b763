Feature: Ports of test processes

  Scenario: Two test processes do not get the same port
    # A process could not listen, since another folder's run had chosen its port
    # before either of them was in use.
    Given another test process that has taken 10 of 20 ports
    When this process takes 10 of them
    Then it gets the other ones
    When the other process has ended and this process takes 10 of them again
    Then it gets those of the other process
