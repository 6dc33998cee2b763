Feature: Settings are validated before a port is opened

  Scenario: Valid settings pass the check
    Given the settings of an instance
    When guavaroad checks them
    Then guavaroad exits with 0 and prints "settings: valid"

  Scenario: A failed check lists every problem
    Given the settings of an instance
    And the field drain_s is -1
    And the field platform.timeout_s is 0
    When guavaroad checks them
    Then guavaroad exits with 1 and prints "drain_s: must be greater than 0, not -1"
    And guavaroad exits with 1 and prints "platform.timeout_s: must be greater than 0"

  Scenario Outline: An invalid field is reported with its path and the requirement
    Given the settings of an instance
    And the field <path> is <given>
    When the settings are loaded
    Then they are refused with "<message>"

    Examples:
      | path                       | given                          | message                                                               |
      | instance.availability_zone | "Zone A"                       | instance.availability_zone: must match                                |
      | instance.client_address    | "localhost:80"                 | instance.client_address: must be an IP number and a port              |
      | instance.client_address    | "127.0.0.1:0"                  | must end with a port from 1 to 65535, not '127.0.0.1:0'               |
      | instance.client_address    | "0.0.0.0:80"                   | must be an IP number that others can dial                             |
      | instance.client_address    | "::1:80"                       | IPv6 in brackets                                                      |
      | instance.peer_address      | "127.0.0.1:8080"               | client_address and peer_address are both 127.0.0.1:8080               |
      | instance                   | null                           | instance: must be a section with the fields availability_zone         |
      | instance                   | ["a"]                          | instance: must be a section with the fields availability_zone         |
      | instance.zone              | "a"                            | instance.zone: is not a known field; the fields are availability_zone |
      | platform.url               | "ftp://127.0.0.1"              | platform.url: must be http:// or https:// and a host                  |
      | platform.timeout_s         | 0                              | platform.timeout_s: must be greater than 0, not 0                     |
      | platform.timeout_s         | "5"                            | platform.timeout_s: must be a number, not '5'                         |
      | limits.body_bytes          | true                           | limits.body_bytes: must be a whole number, not True                   |
      | limits.body_bytes          | 10                             | limits.body_bytes: must be at least 1024, not 10                      |
      | peers                      | "127.0.0.1:1"                  | peers: must be a list, not '127.0.0.1:1'                              |
      | peers                      | ["127.0.0.1:1", "127.0.0.1:1"] | peers.1: repeats an earlier entry                                     |
      | logs.level                 | "LOUD"                         | logs.level: must be one of 'DEBUG', 'INFO', 'WARNING' or 'ERROR'      |
      | logs.sink                  | "/var/log/x"                   | logs.sink: must be one of 'stderr' or 'stdout'                        |
      | drain_s                    | 90000                          | drain_s: must be at most 86400                                        |
      | tokens                     | []                             | tokens: must be at least 1 long                                       |
      | tokens                     | [{"token": "long-secret"}]     | tokens.0: must have a team or be operator: true, and not both         |

  Scenario Outline: An error message contains no secret
    Given the settings of an instance
    And the field tokens is <given>
    When the settings are loaded
    Then they are refused with "<message>"
    And no problem contains "hush"

    Examples:
      | given                                                                           | message                                         |
      | [{"token": "hush", "team": "a"}]                                                | tokens.0.token: must be at least 8 long         |
      | [{"tokn": "hush-hush", "team": "a"}]                                            | tokens.0.tokn: is not a known field; the fields |
      | ["hush-hush"]                                                                   | tokens.0: must be a section with the fields     |
      | [{"token": "hush-hush", "team": "a"}, {"token": "hush-hush", "operator": true}] | tokens.1.token: repeats an earlier entry        |
      | [{"token": "hush-hush"}]                                                        | tokens.0: must have a team                      |

  Scenario Outline: Invalid YAML is reported with its line and without quoting it
    Given a settings file of <text>
    When the settings are loaded
    Then they are refused with "<message>"
    And no problem contains "hush"

    Examples:
      | text                         | message                                     |
      | ""                           | the file: must be a section with the fields |
      | "- a"                        | the file: must be a section with the fields |
      | "a: 1\na: 2"                 | line 2, column 1: duplicate key a           |
      | "tokens: [{token: 'hush"     | line 1, column                              |
      | "tokens: [{token: *hush}]"   | line 1, column 18                           |
      | "tokens: [{token: !hush x}]" | line 1, column 18                           |
      | "\udcff"                     | not UTF-8 at byte 0                         |

  Scenario: A missing file is reported with its path
    When guavaroad checks the settings file "/nowhere/guavaroad.yaml"
    Then guavaroad exits with 1 and prints "/nowhere/guavaroad.yaml: No such file or directory"

  Scenario Outline: A port in use is reported without a traceback
    Given the settings of an instance whose <port> is in use
    When guavaroad starts
    Then guavaroad exits with 1 and prints "guavaroad: port unavailable: "
    And guavaroad never prints "Traceback"

    Examples:
      | port           |
      | client_address |
      | peer_address   |

  Scenario: The version is printed without settings
    When guavaroad is called with "--version"
    Then guavaroad exits with 0 and prints "guavaroad 0."

  Scenario: The help lists the flags
    When guavaroad is called with "--help"
    Then guavaroad exits with 0 and prints "--[no]check"

  Scenario: An unexpected argument is refused
    When guavaroad is called with "check"
    Then guavaroad exits with 1 and prints "unexpected argument 'check'"
