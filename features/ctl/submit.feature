Feature: The command line submits jobs that can be resumed

  Scenario: A job is sent under an id obtained first, and its answer is printed
    Given a fake instance
    When the tasks [1, {"b": 2}] are submitted
    Then it exits with 0
    And the job was sent 1 times, each under the id "zone~1"
    And the job was sent with the payloads [1, {"b": 2}]
    And it prints "{"echo":"two"}"
    And it notes "submission zone~1"

  Scenario: Tasks are read from standard input, one per line
    Given a fake instance
    And standard input is "1\n\"two\"\n"
    When guavaroadctl is called with "submit render -"
    Then it exits with 0
    And the job was sent with the payloads [1, "two"]

  Scenario: The whole answer is printed as JSON
    Given a fake instance
    When the tasks [1] are submitted with --output=json
    Then it exits with 0
    And it prints JSON whose answers is [{"echo": "one"}, {"echo": "two"}]

  Scenario: A submission is sent again under its id after a lost connection
    Given a fake instance
    And the connections of the first 2 submissions are closed without an answer
    When the tasks [1] are submitted
    Then it exits with 0
    And the job was sent 3 times, each under the id "zone~1"
    And it notes "retrying"

  Scenario: A submission that is never answered ends with a resume hint
    Given a fake instance
    And the connection of every submission is closed without an answer
    When the tasks [1] are submitted with --timeout_s=1.2
    Then it exits with 4
    And it notes "sent, but no answer"
    And it notes "--submission_id=zone~1"

  Scenario: A submission is resumed under its id
    Given a fake instance
    When the tasks [1] are submitted with --submission_id=zone~7
    Then it exits with 0
    And no id was requested
    And the job was sent 1 times, each under the id "zone~7"

  Scenario: The progress of a long job is printed while it runs
    Given a fake instance
    And the submission is answered after 2 status requests
    When the tasks [1] are submitted
    Then it exits with 0
    And it notes "state: started, tasks_done: 1"

  Scenario: An accepted submission is polled until it ends
    Given a fake instance
    And the submission is only accepted, and ends by the second status request
    When the tasks [1] are submitted
    Then it exits with 0
    And it prints "1000 COMPLETE"

  Scenario: A detached submission returns once it is accepted
    Given a fake instance
    And the submission is only accepted, and ends by the second status request
    When the tasks [1] are submitted with --detach
    Then it exits with 0
    And it prints "1001 ACCEPTED"

  Scenario: An interrupted submission ends with a message
    Given a fake instance
    When a submission is interrupted while it waits
    Then it exits with 130
    And it notes "interrupted"

  Scenario: A background job of a shell ignores interrupts
    Given a fake instance
    When a submission that ignores interrupts receives one while it waits
    Then it exits with 0

  Scenario Outline: The exit code follows the result code
    Given a fake instance
    And the submission is answered with code <code>
    When the tasks [1] are submitted
    Then it exits with <exit>

    Examples:
      | code | exit |
      | 1000 | 0    |
      | 2008 | 2    |
      | 3002 | 3    |
      | 4005 | 4    |
      | 9000 | 9    |
      | 2999 | 2    |
      | 8001 | 9    |

  Scenario Outline: Invalid tasks are refused before a request is sent
    Given a fake instance
    When the tasks <text> are submitted
    Then it exits with 1
    And it notes "<message>"
    And nothing was sent

    Examples:
      | text     | message                                            |
      | []       | contains no task                                   |
      | [1, {"a" | neither a JSON array nor one JSON value per line   |
      | nonsense | neither a JSON array nor one JSON value per line   |
