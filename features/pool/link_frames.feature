Feature: Messages between instances fit the frames of a link
  A link closes on a frame above its limit. An owner declares all its open jobs
  to a new allocator at once.

  Scenario: More messages at once than a frame can hold arrive in order
    When 600 declarations of 16384 bytes are sent at once
    Then all of them arrive in order, in frames of 131072 bytes at most

  Scenario: Few messages are still sent in one frame
    When 600 declarations of 10 bytes are sent at once
    Then all of them arrive in order, in frames of 65536 bytes at most
    And they were sent in one frame

  Scenario: A message of almost the limit has a frame of its own
    When declarations of 10, 8388000 and 10 bytes are sent at once
    Then declarations "1 2 3" arrive in 3 frames

  Scenario: A message above the limit is dropped, and the others arrive
    When declarations of 10, 8388609 and 10 bytes are sent at once
    Then declarations "1 3" arrive in 1 frames

  Scenario Outline: A job whose declaration exceeds the limit is refused as malformed
    When a job of <tasks> tasks that require a label of <length> characters is submitted
    Then it is <answer>

    Examples:
      | tasks | length | answer   |
      | 4000  | 1000   | accepted |
      | 4000  | 10000  | refused  |
      | 3     | 200000 | accepted |
