Feature: Configuration patches

  Scenario: An accepted patch is in force everywhere within a second
    Given a configured mesh of 3 zones with 3 instances each
    When an operator patches job "render" to 50 tasks at "zone-1/1"
    And 1 s passes
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2

  Scenario Outline: Of operators racing on one base exactly one wins
    Given a configured mesh of 3 zones with 4 instances each
    When <count> operators patch version 1 on different instances at once
    And 20 s pass
    Then one of them is accepted and the others are stale at version 2
    And every instance serves version 2

    Examples:
      | count |
      | 2     |
      | 10    |

  Scenario: Operators who patch again on the live version leave no gap
    Given a configured mesh of 3 zones with 3 instances each
    When 10 operators patch on different instances until they are accepted
    Then they made the versions 2 to 11, each once
    And every instance serves version 11

  Scenario: A repeat of an accepted patch gets its first answer
    Given a configured mesh of 3 zones with 3 instances each
    When operation "op-1" patches version 1 at "zone-0/0"
    And 1 s passes
    And operation "op-1" patches version 1 at "zone-2/1"
    And 1 s passes
    Then every answer is PATCH_ACCEPTED with version 2
    And every instance serves version 2
    And "zone-1/0" says that operation "op-1" is accepted

  Scenario: A used operation id is refused for another patch
    Given a configured mesh of 2 zones with 2 instances each
    When operation "op-1" patches version 1 at "zone-0/0"
    And 1 s passes
    And operation "op-1" sends another patch of version 1 at "zone-0/1"
    And 1 s passes
    Then the last answer is ID_REUSED
    And every instance serves version 2

  Scenario Outline: A bad patch is refused by field and changes nothing
    Given a configured mesh of 2 zones with 2 instances each
    When an operator sends the patch <patch>
    And 1 s passes
    Then the operator's answer is PATCH_INVALID because of "<path>"
    And every instance serves version 1

    Examples:
      | patch                                                 | path                   |
      | []                                                    | must be a JSON object  |
      | {"job": {}}                                           | job                    |
      | {"jobs": {"render": {"max_tasks": 0}}}                | jobs.render.max_tasks  |
      | {"jobs": {"render": {"urgency": "top"}}}              | jobs.render.urgency    |
      | {"jobs": {"render": {"teams": ["nobody"]}}}           | jobs.render.teams      |
      | {"jobs": {"render": {"pool": "gpu"}}}                 | jobs.render.pool       |
      | {"jobs": {"rendr": {"max_tasks": 5}}}                 | jobs.rendr.teams       |
      | {"jobs": {"rendr": null}}                             | jobs.rendr             |
      | {"teams": {"office": null}}                           | .teams: no team office |
      | {"teams": {"office": {"weight": -1}}}                 | teams.office.weight    |
      | {"teams": {"office": {"max_queued_tasks": 0}}}        | max_queued_tasks       |
      | {"classes": {"urgent": {"share": 0.9}, "low": {"share": 0.9}}} | shares add up |

  Scenario: A job in use is not removed
    Given a configured mesh of 2 zones with 2 instances each
    And job "render" has work at "zone-1/0"
    When an operator sends the patch {"jobs": {"render": null}}
    And 1 s passes
    Then the operator's answer is PATCH_INVALID because of "in use at zone-1:9000"
    And every instance serves version 1

  Scenario Outline: Whatever strikes the driver, a patch ends the same everywhere
    Given a configured mesh of 3 zones with 3 instances each
    When the driver is <strike> when <step>
    And 14 s pass
    Then all reached instances serve one version and no proposal is open
    And what they tell of the operation agrees with that version
    When the struck driver is back as far as it can be
    And 5 s pass
    Then all reached instances serve one version and no proposal is open
    And the operator's answer, if any, agrees with that version
    And the next patch at another instance is accepted within 10 s

    Examples:
      | strike  | step                  |
      | killed  | it has checked        |
      | killed  | the proposal is out   |
      | killed  | the proposal is kept  |
      | killed  | some have confirmed   |
      | killed  | all have confirmed    |
      | killed  | the commit is kept    |
      | killed  | some are told         |
      | frozen  | it has checked        |
      | frozen  | the proposal is out   |
      | frozen  | the proposal is kept  |
      | frozen  | some have confirmed   |
      | frozen  | all have confirmed    |
      | frozen  | the commit is kept    |
      | frozen  | some are told         |
      | cut off | it has checked        |
      | cut off | the proposal is out   |
      | cut off | the proposal is kept  |
      | cut off | some have confirmed   |
      | cut off | all have confirmed    |
      | cut off | the commit is kept    |
      | cut off | some are told         |

  Scenario Outline: Whatever the platform does to a write, the outcome is one
    Given a configured mesh of 3 zones with 3 instances each
    When the platform <fault> the <step> of a patch at "zone-0/1"
    And 30 s pass
    Then all reached instances serve one version and no proposal is open
    And the operator's answer, if any, agrees with that version
    And the next patch at another instance is accepted within 10 s

    Examples:
      | fault                           | step   |
      | loses one answer to             | open   |
      | loses one answer to             | commit |
      | loses every answer to           | open   |
      | loses every answer to           | commit |
      | loses one time                  | open   |
      | loses one time                  | commit |
      | loses every time                | open   |
      | loses every time                | commit |
      | goes down for everybody at      | open   |
      | goes down for everybody at      | commit |
      | takes 3 s for each answer since | open   |
      | takes 3 s for each answer since | commit |

  Scenario Outline: A lost answer is settled by asking again
    Given a configured mesh of 2 zones with 2 instances each
    When the platform loses one answer to the <step> of a patch at "zone-0/1"
    And 2 s pass
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2

    Examples:
      | step   |
      | open   |
      | commit |

  Scenario: A patch while the platform is away is refused as not applied
    Given a configured mesh of 2 zones with 2 instances each
    When nobody reaches the platform
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 10 s pass
    Then the operator's answer is PLATFORM_AWAY
    And every instance serves version 1

  Scenario: An old read that comes late never lowers the version
    Given a configured mesh of 2 zones with 2 instances each
    When an operator patches job "render" to 50 tasks at "zone-1/1"
    And 1 s passes
    And "zone-0/0" reads the first 2 states of the row late
    And 3 s pass
    Then it never changed its version after that
    And every instance serves version 2

  Scenario: A patch of the live version is accepted though a read is old
    Given a configured mesh of 2 zones with 2 instances each
    When an operator patches job "render" to 50 tasks at "zone-1/1"
    And 1 s passes
    And "zone-0/0" reads the first 2 states of the row late
    And an operator patches version 2 at "zone-0/0"
    And 3 s pass
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 3

  Scenario: A single silent instance is left out after its lease
    Given a configured mesh of 3 zones with 3 instances each
    When "zone-1/2" is cut off from everything
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 8 s pass
    Then the operator's answer is PATCH_ACCEPTED
    And "zone-1/2" refuses job "render" with ISOLATED
    When everything is reachable again
    And 3 s pass
    Then every instance serves version 2
    And "zone-1/2" admits job "render"

  Scenario: An instance that only its own zone reaches confirms through it
    Given a configured mesh of 2 zones with 3 instances each
    When messages between "zone-0/0" and "zone-1/2" are cut
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 2 s pass
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2

  Scenario: A zone that is cut off from the platform takes patches by peers
    Given a configured mesh of 3 zones with 3 instances each
    When zone "zone-2" does not reach the platform
    And 10 s pass
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 1 s passes
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2
    And "zone-2/0" admits job "render"

  Scenario: A zone cut off from everything is named, serves on and catches up
    Given a configured mesh of 3 zones with 3 instances each
    When zone "zone-2" is cut off from everything
    And 20 s pass
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 10 s pass
    Then the operator's answer is PATCH_UNCONFIRMED because of "zone-2"
    And "zone-2/1" admits job "render"
    When everything is reachable again
    And 5 s pass
    And an operator patches job "render" to 60 tasks at "zone-0/0"
    And 1 s passes
    Then every instance serves version 2

  Scenario: A zone that the platform no longer lists stops no patch
    Given a configured mesh of 3 zones with 3 instances each
    When zone "zone-2" is killed and the platform lists the rest
    And 10 s pass
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 1 s passes
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2

  Scenario: An instance in doubt serves what both versions treat alike
    Given a configured mesh of 3 zones with 3 instances each
    When zone "zone-2" is cut off once it has confirmed a patch of job "render"
    And 4 s pass
    Then "zone-2/0" refuses job "render" with CONFIGURATION_IN_DOUBT
    And "zone-2/0" admits job "digest"
    When everything is reachable again
    And 3 s pass
    Then "zone-2/0" admits job "render"
    And all reached instances serve one version and no proposal is open

  Scenario: An instance that starts while the platform is away learns by peers
    Given a configured mesh of 2 zones with 2 instances each
    When nobody reaches the platform
    And instance "zone-0/1" is replaced without a way to the platform
    Then "zone-0/1" refuses job "render" with NO_CONFIGURATION
    When 2 s pass
    Then "zone-0/1" admits job "render"
    And every instance serves version 1

  Scenario: An instance that reaches nobody at its start admits nothing
    Given a configured mesh of 2 zones with 2 instances each
    When nobody reaches the platform
    And instance "zone-0/1" is replaced without a way to anybody
    And 60 s pass
    Then "zone-0/1" refuses job "render" with NO_CONFIGURATION
