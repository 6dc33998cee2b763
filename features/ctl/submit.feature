Feature: The command line submits jobs so that a broken line can be resumed

  Scenario: A job is sent under an id that was taken first, and its answer printed
    Given a fake instance
    When the tasks [1, {"b": 2}] are submitted
    Then it exits with 0
    And the job was sent 1 times, each under the id "zone~1"
    And the job was sent with the payloads [1, {"b": 2}]
    And it prints "{"echo":"two"}"
    And it notes "submission zone~1"

  Scenario: Tasks come from standard input, one a line
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

  Scenario: A broken line is mended by sending the same id again
    Given a fake instance
    And the first 2 submissions end with a broken line
    When the tasks [1] are submitted
    Then it exits with 0
    And the job was sent 3 times, each under the id "zone~1"
    And it notes "trying again"

  Scenario: A line that stays broken ends with how to resume
    Given a fake instance
    And every submission ends with a broken line
    When the tasks [1] are submitted with --timeout_s=1.2
    Then it exits with 4
    And it notes "sent, but no answer"
    And it notes "--submission_id=zone~1"

  Scenario: A submission is resumed under its id
    Given a fake instance
    When the tasks [1] are submitted with --submission_id=zone~7
    Then it exits with 0
    And no id was asked for
    And the job was sent 1 times, each under the id "zone~7"

  Scenario: Progress of a long job is noted while it runs
    Given a fake instance
    And the submission is answered after 2 lookups
    When the tasks [1] are submitted
    Then it exits with 0
    And it notes "state: started, tasks_done: 1"

  Scenario: A recorded submission is looked up until it ends
    Given a fake instance
    And the submission is only recorded, and ends by the next lookup
    When the tasks [1] are submitted
    Then it exits with 0
    And it prints "1000 COMPLETE"

  Scenario: A detached submission returns once it is recorded
    Given a fake instance
    And the submission is only recorded, and ends by the next lookup
    When the tasks [1] are submitted with --detach
    Then it exits with 0
    And it prints "1001 ACCEPTED"

  Scenario: An interrupt ends with a message
    Given a fake instance
    When a submission is interrupted while it waits
    Then it exits with 130
    And it notes "interrupted"

  Scenario: A job of a shell in the background is not interrupted
    Given a fake instance
    When a submission that ignores interrupts gets one while it waits
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

  Scenario Outline: Wrong tasks are refused before anything is sent
    Given a fake instance
    When the tasks <text> are submitted
    Then it exits with 1
    And it notes "<message>"
    And nothing was sent

    Examples:
      | text     | message                                            |
      | []       | holds no task                                      |
      | [1, {"a" | neither a JSON array nor a value a line            |
      | nonsense | neither a JSON array nor a value a line            |
