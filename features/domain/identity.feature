Feature: Submission ids

  Scenario: An id contains its owner and its team
    Given an incarnation of zone "kigali-1" at "127.0.0.1:8080"
    When it mints an id for team "office"
    Then the id parses to the same owner, team and sequence

  Scenario Outline: Text that is not a submission id is refused
    When the text <text> is parsed as an id
    Then the id is refused because <reason>

    Examples:
      | text            | reason                  |
      | order-17        | not 7 fields            |
      | a~b~c~1~2~d~bad | checksum does not match |

  Scenario: A changed field breaks the checksum
    Given an incarnation of zone "kigali-1" at "127.0.0.1:8080"
    When it mints an id for team "office"
    And the team in the id is changed to "rival"
    Then the id is refused because checksum does not match
