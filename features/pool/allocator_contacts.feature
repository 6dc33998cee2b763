Feature: The last contact of an owner with an allocator

  Scenario Outline: The age of the contact counts from what an allocator counts from
    # An age that is too high lets the next allocator start tasks beside their runs.
    Given an owner that <contact> and then hears nothing for 0.3 s
    Then it declares its jobs with a contact age of <age_ms> ms

    Examples:
      | contact                                              | age_ms |
      | has just started                                     | 300    |
      | follows an allocator                                 | 300    |
      | answers a heartbeat                                  | 300    |
      | answers a heartbeat, and follows an allocator later  | 300    |
      | answers a heartbeat of an older build                | 0      |

  Scenario: A job is declared to the next allocator with the age of the contact before
    Given an owner with an open job that answers a heartbeat and then hears nothing for 0.3 s
    When it follows another allocator
    Then the job is declared there with a contact age of 300 ms

  Scenario: An owner is away after a pause of the allocator, before the next tick
    # A start that was due at the end of the pause relied on the tick before it.
    Given an allocator with runs of two owners on one worker
    Then each owner is away 0.7 s later, and not 0.6 s later
