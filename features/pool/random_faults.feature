Feature: Random faults that overlap, and clients that send jobs again

  # A task of a job started that was refused with the promise that it never runs.
  # Seen on a large deployment on commit 36545a4, and not reproduced.

  Scenario: No refused job starts
    Then 2 runs of 5 s with random faults from seed 1 start no refused job

  Scenario: No refused job starts while agents call the workers
    Then 2 runs of 5 s with random faults and worker agents from seed 1 start no refused job
