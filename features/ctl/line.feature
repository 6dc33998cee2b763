Feature: A slow or broken line is a clear message

  Scenario: Any instance that answers is found
    Given a fake instance
    And an address where nobody listens comes first
    When the tasks [1] are submitted
    Then it exits with 0

  Scenario: Nobody to reach is said, with each address
    Given nobody listens at the only address
    When guavaroadctl is called with "config show"
    Then it exits with 6
    And it notes "no instance reached: 127.0.0.1:"

  Scenario Outline: An answer of something else is told from an instance's
    Given a fake instance
    And every page is answered with a web page of a proxy
    When guavaroadctl is called with "<words>"
    Then it exits with <exit>
    And it notes "HTTP 502, not an answer of guavaroad"

    Examples:
      | words            | exit |
      | config show      | 4    |
      | state            | 4    |

  Scenario Outline: Wrong words and flags are refused
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
    Given nobody listens at the only address
    When guavaroadctl is called with "<flag>"
    Then it exits with 0
    And it prints "<text>"

    Examples:
      | flag      | text                 |
      | --help    | submission cancel ID |
      | --help    | --request_timeout_s  |
      | --version | guavaroadctl 0.      |
