Feature: Configuration patches

  Scenario: An accepted patch is in force on every instance within 1 s
    Given a configured mesh of 3 zones with 3 instances each
    When an operator patches job "render" to 50 tasks at "zone-1/1"
    And 1 s passes
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2

  Scenario Outline: Exactly one of several concurrent patches to a version is accepted
    Given a configured mesh of 3 zones with 4 instances each
    When <count> operators patch version 1 on different instances at once
    And 20 s pass
    Then one of them is accepted and the others are stale at version 2
    And every instance serves version 2

    Examples:
      | count |
      | 2     |
      | 10    |

  Scenario: Operators that retry on the current version leave no gap
    Given a configured mesh of 3 zones with 3 instances each
    When 10 operators patch on different instances until they are accepted
    Then the patches created the versions 2 to 11, each once
    And every instance serves version 11

  Scenario: A repeated operation gets its first answer
    Given a configured mesh of 3 zones with 3 instances each
    When operation "op-1" patches version 1 at "zone-0/0"
    And 1 s passes
    And operation "op-1" patches version 1 at "zone-2/1"
    And 1 s passes
    Then every answer is PATCH_ACCEPTED with version 2
    And every instance serves version 2
    And "zone-1/0" reports operation "op-1" as accepted

  Scenario: A used operation id is refused for another patch
    Given a configured mesh of 2 zones with 2 instances each
    When operation "op-1" patches version 1 at "zone-0/0"
    And 1 s passes
    And operation "op-1" sends another patch of version 1 at "zone-0/1"
    And 1 s passes
    Then the last answer is ID_REUSED
    And every instance serves version 2

  Scenario Outline: An invalid patch is refused with the field's path and has no effect
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

  Scenario Outline: All instances agree on the outcome if the driver fails at any step
    Given a configured mesh of 3 zones with 3 instances each
    When the driver is <fault> when <step>
    And 14 s pass
    Then all reached instances serve one version and no proposal is open
    And the operation state that they report agrees with that version
    When the fault at the driver ends
    And 5 s pass
    Then all reached instances serve one version and no proposal is open
    And the operator's answer, if any, agrees with that version
    And the next patch at another instance is accepted within 10 s

    Examples:
      | fault   | step                               |
      | killed  | the patch is validated             |
      | killed  | the proposal is sent to the store  |
      | killed  | the proposal is stored             |
      | killed  | some votes have been sent          |
      | killed  | the commit is sent to the store    |
      | killed  | the commit is stored               |
      | killed  | some instances are notified        |
      | frozen  | the patch is validated             |
      | frozen  | the proposal is sent to the store  |
      | frozen  | the proposal is stored             |
      | frozen  | some votes have been sent          |
      | frozen  | the commit is sent to the store    |
      | frozen  | the commit is stored               |
      | frozen  | some instances are notified        |
      | cut off | the patch is validated             |
      | cut off | the proposal is sent to the store  |
      | cut off | the proposal is stored             |
      | cut off | some votes have been sent          |
      | cut off | the commit is sent to the store    |
      | cut off | the commit is stored               |
      | cut off | some instances are notified        |

  Scenario Outline: All instances agree on the outcome if a platform write fails
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
      | drops one request for           | open   |
      | drops one request for           | commit |
      | drops every request for         | open   |
      | drops every request for         | commit |
      | becomes unreachable for all at  | open   |
      | becomes unreachable for all at  | commit |
      | answers after 3 s from          | open   |
      | answers after 3 s from          | commit |

  Scenario Outline: A lost answer is resolved by asking the platform again
    Given a configured mesh of 2 zones with 2 instances each
    When the platform loses one answer to the <step> of a patch at "zone-0/1"
    And 2 s pass
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2

    Examples:
      | step   |
      | open   |
      | commit |

  Scenario: A patch while the platform is unreachable is refused as not applied
    Given a configured mesh of 2 zones with 2 instances each
    When no instance reaches the platform
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 10 s pass
    Then the operator's answer is PLATFORM_AWAY
    And every instance serves version 1

  Scenario: A stale read never lowers the version
    Given a configured mesh of 2 zones with 2 instances each
    When an operator patches job "render" to 50 tasks at "zone-1/1"
    And 1 s passes
    And "zone-0/0" gets stale reads of the first 2 states of the row
    And 3 s pass
    Then it never changed its version after that
    And every instance serves version 2

  Scenario: A patch of the current version is accepted despite a stale read
    Given a configured mesh of 2 zones with 2 instances each
    When an operator patches job "render" to 50 tasks at "zone-1/1"
    And 1 s passes
    And "zone-0/0" gets stale reads of the first 2 states of the row
    And an operator patches version 2 at "zone-0/0"
    And 3 s pass
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 3

  Scenario: An unreachable instance is excluded from the vote after its lease
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

  Scenario: An instance that only its own zone reaches votes through a relay
    Given a configured mesh of 2 zones with 3 instances each
    When messages between "zone-0/0" and "zone-1/2" are cut
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 2 s pass
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2

  Scenario: A zone without the platform receives patches from peers
    Given a configured mesh of 3 zones with 3 instances each
    When zone "zone-2" does not reach the platform
    And 10 s pass
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 1 s passes
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2
    And "zone-2/0" admits job "render"

  Scenario: An isolated zone is named, keeps serving and catches up
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

  Scenario: A zone that the platform no longer lists blocks no patch
    Given a configured mesh of 3 zones with 3 instances each
    When zone "zone-2" is killed and the platform lists the rest
    And 10 s pass
    And an operator patches job "render" to 50 tasks at "zone-0/0"
    And 1 s passes
    Then the operator's answer is PATCH_ACCEPTED
    And every instance serves version 2

  Scenario: An instance with an unconfirmed patch admits unaffected jobs
    Given a configured mesh of 3 zones with 3 instances each
    When zone "zone-2" is cut off once it has confirmed a patch of job "render"
    And 4 s pass
    Then "zone-2/0" refuses job "render" with CONFIGURATION_IN_DOUBT
    And "zone-2/0" admits job "digest"
    When everything is reachable again
    And 3 s pass
    Then "zone-2/0" admits job "render"
    And all reached instances serve one version and no proposal is open

  Scenario: An instance started without the platform asks its peers
    Given a configured mesh of 2 zones with 2 instances each
    When no instance reaches the platform
    And instance "zone-0/1" is replaced without access to the platform
    Then "zone-0/1" refuses job "render" with NO_CONFIGURATION
    When 2 s pass
    Then "zone-0/1" admits job "render"
    And every instance serves version 1

  Scenario: An instance that is isolated at its start admits no jobs
    Given a configured mesh of 2 zones with 2 instances each
    When no instance reaches the platform
    And instance "zone-0/1" is replaced without access to the platform or its peers
    And 60 s pass
    Then "zone-0/1" refuses job "render" with NO_CONFIGURATION
