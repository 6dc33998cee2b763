Feature: Fuzzed decoders

  Scenario Outline: Any input of the <decoder> gives a value or a typed error
    When the <decoder> is fuzzed with <count> inputs
    Then it never raised

    Examples:
      | decoder         | count |
      | submission body | 500   |
      | submission id   | 500   |
      | configuration   | 300   |
      | settings        | 300   |
      | merge patch     | 300   |

  Scenario: Any bytes on a connection leave the instance serving
    Given an instance in memory
    When 300 connections send fuzzed bytes
    Then the instance holds 0 bytes of bodies
    And a good submission still starts its tasks

  Scenario: Any change to a good request leaves the instance serving
    Given an instance in memory
    When 300 connections send a good request with fuzzed headers and path
    Then the instance holds 0 bytes of bodies
    And every answer carries a result code
