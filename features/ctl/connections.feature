Feature: Connection failures and usage errors have clear messages

  Scenario: The first instance that answers is used
    Given a fake instance
    And an address without a listener comes first
    When the tasks [1] are submitted
    Then it exits with 0

  Scenario: The addresses are named if no instance is reachable
    Given the only address has no listener
    When guavaroadctl is called with "config show"
    Then it exits with 6
    And it notes "no instance reached: 127.0.0.1:"

  Scenario: A request without an answer times out
    Given a fake instance
    And the request for the configuration is never answered
    When guavaroadctl is called with "config show --request_timeout_s=0.5"
    Then it exits with 4
    And it notes "no answer in time"

  Scenario Outline: A response that is not from an instance is rejected
    Given a fake instance
    And every request is answered with an error page of a proxy
    When guavaroadctl is called with "<words>"
    Then it exits with <exit>
    And it notes "HTTP 502, not an answer of guavaroad"

    Examples:
      | words            | exit |
      | config show      | 4    |
      | state            | 4    |

  Scenario Outline: Invalid arguments and flags are refused
    Given a fake instance
    When guavaroadctl is called with "<words>"
    Then it exits with 1
    And it notes "<message>"
    And nothing was sent

    Examples:
      | words                        | message                                 |
      | sbmit render x               | no such command: sbmit render x         |
      | submit render /nowhere.json  | /nowhere.json: No such file             |
      | config patch one /nowhere    | /nowhere: No such file                  |
      | config wait latest           | the version must be a number            |
      | state nowhere                | 'nowhere' is not ip:port                |
      | --address=nowhere state      | 'nowhere' is not ip:port                |
      | --token_file=/nowhere state  | give --token or --token_file, not both  |
      | --ca_file=/nowhere state     | --ca_file: /nowhere: No such file       |
      | --timeout_s=soon state       | --timeout_s=soon                        |
      | --output=xml state           | --output=xml                            |

  Scenario Outline: Help and version need no instance
    Given the only address has no listener
    When guavaroadctl is called with "<flag>"
    Then it exits with 0
    And it prints "<text>"

    Examples:
      | flag      | text                 |
      | --help    | submission cancel ID |
      | --help    | --request_timeout_s  |
      | --version | guavaroadctl 0.      |
