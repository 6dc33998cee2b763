Feature: Submissions through faults of platform, upstreams and clients

  Background:
    Given a fleet whose requests to the platform time out after 1 s

  Scenario Outline: Lost responses of the table do not change the outcome
    Given the platform loses the answers of the next <count> writes
    When an asynchronous submission of 3 tasks is sent to the first instance
    Then the second instance answers COMPLETE repeatedly
    And 3 tasks started and none twice

    Examples:
      | count |
      | 1     |
      | 2     |
      | 3     |
      | 5     |

  Scenario: While the platform is down, jobs run and client keys are not checked
    Given the platform is down
    Then a submission without a key is answered COMPLETE
    And the next asynchronous submission is answered PLATFORM_AWAY
    And a submission with the client key "order-1" is answered KEY_NOT_CHECKED
    When the platform is available again
    Then the answer given during the outage can be read after the owner is killed
    And 3 tasks started and none twice

  Scenario: A client key that is sent to every instance at once runs once
    When one body with the client key "order-7" is sent to every instance 4 times
    Then every copy is answered COMPLETE with the same answers
    And 3 tasks started and none twice

  Scenario: One id that is sent to every instance, at once and again later, runs once
    When one minted id is sent to every instance 4 times
    And it is sent to every instance again
    Then every copy is answered COMPLETE with the same answers
    And 3 tasks started and none twice

  Scenario: A client that disconnects and returns gets its answer
    Given the upstreams hold tasks at the answer
    When a submission of 3 tasks is sent to the first instance in the background
    And its tasks have started and the client disconnects
    And all held requests are released
    Then the second instance answers COMPLETE repeatedly
    And 3 tasks started and none twice

  Scenario: Submissions that are cancelled while they start get a true answer
    Given the upstreams hold tasks at the answer
    When 40 submissions are cancelled while they and 5 others start
    Then every submission that is answered CANCELLED started nothing
    And every submission that is answered COMPLETE has all its answers
    And every submission that was not cancelled is answered COMPLETE
    And a cancel after the end gets the same answer
    And no task of the fleet started twice

  Scenario: A cancel that arrives before its submission prevents the run
    When an unused id is cancelled at the second instance
    Then the first instance answers CANCELLED repeatedly
    And 0 tasks started and none twice

  Scenario Outline: A connection that an upstream drops fails the job
    Given the upstreams drop connections <when> the start
    Then a submission without a key is answered TASK_LOST
    And at most 3 tasks started and none twice

    Examples:
      | when   |
      | before |
      | after  |

  Scenario: Two clients never get each other's answers
    When two teams send 500 requests each, interleaved, with random delays
    Then every answer carries the text of its own request
    And no task of the fleet started twice
