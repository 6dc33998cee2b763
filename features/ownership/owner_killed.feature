Feature: The owner of a submission is killed

  Scenario Outline: A submission whose owner dies at a step runs once or ends IN_DOUBT
    Given a fleet whose requests to the platform time out after 1 s
    And the platform holds write <skip> at the <hold>
    And the upstreams hold tasks at the <upstream>
    When an asynchronous submission of 3 tasks is sent to the first instance
    And it reaches the step "<step>" and the owner is killed
    And all held requests are released <when> the second instance is queried
    Then the second instance answers <name> repeatedly
    And <count> tasks started and none twice

    Examples:
      | step             | skip | hold    | upstream | when   | name     | count |
      | record sent      | 1    | request | nothing  | before | COMPLETE | 3     |
      | record written   | 1    | answer  | nothing  | before | COMPLETE | 3     |
      | claim sent       | 2    | request | nothing  | before | IN_DOUBT | 0     |
      | claim sent       | 2    | request | nothing  | after  | COMPLETE | 3     |
      | claim written    | 2    | answer  | nothing  | before | IN_DOUBT | 0     |
      | request written  | 9    | answer  | request  | before | IN_DOUBT | 3     |
      | upstream started | 9    | answer  | answer   | before | IN_DOUBT | 3     |
      | answer recorded  | 9    | answer  | nothing  | before | COMPLETE | 3     |

  Scenario: An id whose owner died before it was used runs nothing
    Given a fleet whose requests to the platform time out after 1 s
    When an id is minted by the first instance and the owner is killed
    Then the second instance answers NOT_HANDED_OVER repeatedly
    And 0 tasks started and none twice

  Scenario: An unrecorded submission of a dead owner stays unknown
    Given a fleet whose requests to the platform time out after 1 s
    And the upstreams hold tasks at the answer
    When a submission of 3 tasks is sent to the first instance in the background
    And its tasks have started and the owner is killed
    And all held requests are released before the second instance is queried
    Then the second instance answers NOT_HANDED_OVER repeatedly
    And 3 tasks started and none twice

  Scenario: A queued submission of a dead owner is finished without a request
    Given a fleet whose requests to the platform time out after 1 s
    And the platform holds write 2 at the request
    When an asynchronous submission of 3 tasks is sent to the first instance
    And it reaches the step "claim sent" and the owner is killed
    Then 3 tasks start without any request
    And the second instance answers COMPLETE repeatedly

  Scenario: A frozen owner that is resumed starts nothing and relays the answer
    Given a fleet whose requests to the platform time out after 1 s
    And the platform holds write 2 at the request
    When an asynchronous submission of 3 tasks is sent to the first instance
    And it reaches the step "claim sent" and the owner is frozen
    Then the second instance answers COMPLETE repeatedly
    When all held requests are released and the owner is resumed
    Then the first instance answers COMPLETE repeatedly
    And 3 tasks started and none twice
