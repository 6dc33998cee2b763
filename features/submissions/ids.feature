Feature: Ids and kept outcomes

  Scenario: An outcome that was dropped is unknown, never run again
    Given a book that keeps 2 outcomes and 3 submissions that ended
    Then the id 1 is refused as ID_EXPIRED
    And the id 3 is answered from the book

  Scenario: Large answers are dropped by their bytes
    Given a book that keeps 4000 bytes and 3 submissions of 2000 bytes that ended
    Then the id 2 is refused as ID_EXPIRED
    And the id 3 is answered from the book

  Scenario Outline: An id of this instance runs only if it was minted and is fresh
    Given a book that keeps 2 outcomes and 3 submissions that ended
    When <seconds> seconds pass at the minter
    Then the id <sequence> is refused as <code>

    Examples:
      | seconds | sequence | code              |
      | 0       | 9        | BAD_SUBMISSION_ID |
      | 0       | 0        | BAD_SUBMISSION_ID |
      | 3601    | 4        | ID_EXPIRED        |

  Scenario: A submission that came back here outlives its earlier end
    Given a book that keeps 2 outcomes and 3 submissions that ended
    When the submission 2 runs here again and 3 others end
    Then the submission 2 still runs in the book
