Feature: What an owner and its allocator know of the starts of a job

  Scenario: A job of which only the end of a run is known is not refused as not run
    # The number of the run was not declared with its end.
    Given an allocator with 2 workers to which no job is declared
    When the owner declares a job of which a run has failed
    And the owner withdraws its job
    Then the job is given up as one that may have started

  Scenario: A tracked job is not refused as not run after another owner has declared the end of a run
    Given an allocator with 2 workers and a job of 1 task without a known run
    When another instance declares the job, of which a run has failed
    And that instance withdraws the job
    Then the job is given up as one that may have started

  Scenario: An allocator sends the payload of the newest declaration
    # An owner declares its job anew with the payload when the allocator calls the
    # workers itself; the start had that of the declaration before, which had none.
    Given an allocator with 2 workers and a job declared without its payload
    When the owner declares the job again with its payload
    And worker 0 reports no run
    Then the start of the task has the payload

  Scenario: A job whose run has failed is not answered as not run
    Given an open job that was told of a failed run, but not of its start
    Then its outcome is unknown when the allocator gives it up

  Scenario: A second attempt at an owner does not claim to know every start
    # The first attempt had started, and the next allocator was told that nothing had.
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s
    When 2 s pass in the pool
    And a job starts, its instance is cut off, and its client sends it there again 3 s later
    Then the second attempt does not claim to know every start

  Scenario: An owner withdraws a job that it has refused without an allocator
    # The allocator that still had the job would have run it to its end.
    Given a pool of 6 instances in zones "a b c" with 12 workers and links of 100 kB/s
    When 2 s pass in the pool
    And a job of 2 tasks of 60 ms is submitted away from the allocator, whose instance is cut off
    And 3 s pass in the pool
    Then the last job is refused as not run within 1000 ms
    When the cut ends
    And 2 s pass in the pool
    Then its instance has withdrawn it
