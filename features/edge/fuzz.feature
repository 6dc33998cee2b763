Feature: Fuzzed decoders

  Scenario Outline: Any input of the <decoder> gives a value or an error value
    When the <decoder> is fuzzed with <count> inputs
    Then no input raises an exception

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
    And a valid submission still starts its tasks

  Scenario: Any fuzzed header or path leaves the instance serving
    Given an instance in memory
    When 300 connections send a valid request with fuzzed headers and path
    Then the instance holds 0 bytes of bodies
    And every answer carries a result code
