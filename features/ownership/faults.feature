Feature: Submissions through faults of platform, upstreams and clients

  Background:
    Given a fleet whose instances lose patience with the platform after 1 s

  Scenario Outline: Lost answers of the table change nothing
    Given the platform loses the answers of the next <count> writes
    When an asynchronous submission of 3 tasks goes to the first instance
    Then the second instance answers COMPLETE again and again
    And 3 tasks started and none twice

    Examples:
      | count |
      | 1     |
      | 2     |
      | 3     |
      | 5     |

  Scenario: With the platform away jobs run and keys are not checked
    Given the platform is down
    Then a submission without a key is answered COMPLETE
    And the next asynchronous submission is answered PLATFORM_AWAY
    And a submission with the client key "order-1" is answered KEY_NOT_CHECKED
    When the platform is back
    Then the answer given meanwhile can be read after the owner is killed
    And 3 tasks started and none twice

  Scenario: A client key that goes everywhere at once runs once
    When one body with the client key "order-7" goes to every instance 4 times
    Then every copy is answered COMPLETE with the same answers
    And 3 tasks started and none twice

  Scenario: One id that goes everywhere at once and later runs once
    When one minted id goes to every instance 4 times
    And it goes to every instance again
    Then every copy is answered COMPLETE with the same answers
    And 3 tasks started and none twice

  Scenario: A client that left and comes back gets its answer
    Given the upstreams hold tasks at the answer
    When a submission of 3 tasks goes to the first instance without a wait
    And its tasks have started and the client leaves
    And everything held is released
    Then the second instance answers COMPLETE again and again
    And 3 tasks started and none twice

  Scenario: A wave of cancels is told the truth
    When 40 submissions are cancelled while they start
    Then every submission that is answered CANCELLED started nothing
    And every submission that is answered COMPLETE is whole
    And no task of the fleet started twice

  Scenario: A cancel that overtakes its submission keeps it from running
    When an unused id is cancelled at the second instance
    Then the first instance answers CANCELLED again and again
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
