Feature: Entries of other writers among those of the workers

  # One entry stopped the worker list in every process: starts went on at a worker
  # that was draining, and nothing was served after a restart. Review case 1.

  Scenario Outline: An entry with <oddity> does not stop the worker list
    Given 3 processes of the platform program and 3 workers
    When another writer adds an entry with <oddity>
    And a worker begins to drain, and another one is added
    And 3.5 s pass under load
    Then no run has started on the draining worker after its limit
    And runs have started on the added worker
    And every process has run without an error
    When all processes are killed and start again
    Then a job is served within 12 s

    Examples: nested
      | oddity                                      |
      | nesting 5000 deep in a field without a use  |
      | nesting 5000 deep in place of an object     |
      | nesting 5000 deep in its capacity           |

    Examples: numbers
      | oddity                       |
      | a start time of 30 digits    |
      | a start time of 5000 digits  |
      | a capacity of 30 digits      |
      | a capacity of 1e400          |

    Examples: addresses
      | oddity                       |
      | the port 99999               |
      | the port 8_0                 |
      | a port of 5000 digits        |
      | a line break after its port  |

  Scenario: Entries whose ids do not fit a header are ignored
    Then entries with ids that do not fit a header are ignored

  Scenario Outline: <what> with deep nesting is refused
    Given 3 processes of the platform program and 3 workers
    When <what> with nesting 5000 deep is received
    Then a valid job is still served
    And version 3 of the configuration is followed

    Examples:
      | what                       |
      | a job                      |
      | a version of configuration |
      | an instance                |
