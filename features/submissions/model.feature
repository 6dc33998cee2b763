Feature: Model check of the submission protocol

  Scenario Outline: No order of faults violates an invariant
    When every order of 1 fault, 1 crash and 1 takeover is searched for a submission recorded as <mode>
    Then the search is complete and found no violation

    Examples:
      | mode       |
      | unrecorded |
      | optional   |
      | required   |

  Scenario Outline: The search finds an injected fault
    When the search runs with the injected fault "<fault>"
    Then it reports "<violation>"

    Examples:
      | fault                             | violation                              |
      | start before the claim is written | a task started twice                   |
      | takeover without compare-and-set  | a task reported as not run has started |
      | retry after a lost answer         | a task started twice                   |
      | not run reported before commit    | a task reported as not run has started |

  Scenario: Long random orders of many faults violate no invariant
    When 400 random orders of up to 80 actions are drawn, the same ones each time
    Then none of them violated an invariant
