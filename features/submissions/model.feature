Feature: Model check of the submission protocol

  Scenario Outline: No order of faults breaks the promises of a submission
    When every order of 1 fault, 1 crash and 1 takeover is searched for a submission recorded as <mode>
    Then the search is complete and found no violation

    Examples:
      | mode       |
      | unrecorded |
      | optional   |
      | required   |

  Scenario Outline: The search finds a fault that is planted
    When the search runs with the planted fault "<fault>"
    Then it reports "<violation>"

    Examples:
      | fault                            | violation            |
      | start before the claim is written | a task started twice |
      | takeover without compare-and-set | not run was not true |
      | retry after a lost answer        | a task started twice |
      | not run before the row says so   | not run was not true |
