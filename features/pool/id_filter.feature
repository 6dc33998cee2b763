Feature: A compact record of ids that may report others

  Scenario: Ids are retained for one to two periods
    Given an id filter that retains 1000 ids for 10 s
    When 19 s pass for the filter in steps of 0.5 s
    Then the filter reports all of the ids
    When 1.5 s pass for the filter in steps of 0.5 s
    Then the filter reports none of the ids

  Scenario: At most 1 % of other ids are reported after 10 s of 250,000 jobs a second
    # A new job with such an id is refused with an unknown outcome instead of as
    # not run.
    Given an id filter that retains 2500000 ids for 10 s
    Then the filter reports at most 1 % of 20000 other ids
