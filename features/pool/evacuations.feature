Feature: Evacuation of availability zones

  Scenario: An evacuated zone gets no starts until it is taken back
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And zone "b" is evacuated by the operator
    And 0.5 s pass in the pool
    And 20 jobs per second of 2 tasks of 60 ms are submitted for 2 s
    Then tasks have started since then, none of them in zone "b"
    And at least 100 of 100 jobs are complete
    When the operator takes all zones back
    And 0.5 s pass in the pool
    And 20 jobs per second of 2 tasks of 60 ms are submitted for 2 s
    Then tasks have started in zone "b" since then

  Scenario: Runs in an evacuated zone go on to their end
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And a job of 9 tasks of 800 ms is submitted
    And 0.2 s pass in the pool
    And zone "b" is evacuated by the operator
    And 1.5 s pass in the pool
    Then the last job is complete
    And no task of the first job started twice

  Scenario: An allocator without the store hears of an evacuation from others
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And the allocator can't reach the store
    And zone "b" is evacuated by the operator
    And 1 s pass in the pool
    And 20 jobs per second of 2 tasks of 60 ms are submitted for 2 s
    Then tasks have started since then, none of them in zone "b"

  Scenario: The next allocator goes on with an evacuation while the store is away
    Given a pool of 3 instances in zones "a b c" with 9 workers
    When 2 s pass in the pool
    And zone "b" is evacuated by the operator
    And 1 s pass in the pool
    And the store is unavailable to all instances
    And the allocator is killed
    And 2 s pass in the pool
    And 20 jobs per second of 2 tasks of 60 ms are submitted for 2 s
    Then tasks have started since then, none of them in zone "b"

  Scenario Outline: What a read of the store shows of evacuated zones
    Given the zones "<known>" are evacuated as of version 5
    When a <kind> read as of version <version> has the rows "<rows>"
    Then the zones "<zones>" are evacuated as of version <newest>

    Examples:
      | known | kind     | version | rows                        | zones | newest |
      |       | full     | 7       | config evacuate/a           | a     | 7      |
      | a b   | full     | 7       | config                      |       | 7      |
      | a     | changing | 7       | evacuate/b                  | a b   | 7      |
      | a b   | changing | 7       | -evacuate/a config          | b     | 7      |
      | a     | changing | 7       | -evacuate/a evacuate/a      | a     | 7      |
      | a     | changing | 7       | evacuate/b -evacuate/b      | a     | 7      |
      | a     | full     | 4       | config                      | a     | 5      |
      | a     | changing | 7       | wave/1 evacuated            | a     | 7      |
