Feature: Submission ids and cached outcomes

  Scenario: The id of an evicted outcome is refused as expired
    Given a cache of 2 outcomes after 3 submissions have ended
    Then the id 1 is refused as ID_EXPIRED
    And the id 3 is answered from the cache

  Scenario: Outcomes are evicted by their size
    Given a cache of 4000 bytes after 3 submissions of 2000 bytes have ended
    Then the id 2 is refused as ID_EXPIRED
    And the id 3 is answered from the cache

  Scenario Outline: An id of this instance is refused unless it was minted here and is recent
    Given a cache of 2 outcomes after 3 submissions have ended
    When <seconds> seconds pass at the minter
    Then the id <sequence> is refused as <code>

    Examples:
      | seconds | sequence | code              |
      | 0       | 9        | BAD_SUBMISSION_ID |
      | 0       | 0        | BAD_SUBMISSION_ID |
      | 3601    | 4        | ID_EXPIRED        |

  Scenario: A submission that runs here again is not evicted with its earlier outcome
    Given a cache of 2 outcomes after 3 submissions have ended
    When the submission 2 runs here again and 3 others end
    Then the submission 2 is still open in the cache
