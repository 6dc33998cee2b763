Feature: Tasks whose workers are lost, as the allocator records it

  Scenario: A task whose workers were cut off is not given up
    Given an allocator with 4 workers and a job of 1 task that has 60 s
    When the worker of the task is silent until its lease lapses, and answers again, 4 times
    Then the job is not given up

  Scenario: Nothing is retained of a task whose worker was cut off
    # A pause of the allocator ends all runs: there may be a million of them.
    Given an allocator with 4 workers and a job of 1 task that has 60 s
    When the worker of the task is silent until its lease lapses, and answers again, 1 times
    Then the job is not given up
    And no worker is on record as lost

  Scenario: Tasks that were lost with one worker are not placed together again
    # They were queued in the same instant and chose the same gap, so that all tasks
    # beside one that crashes its workers were lost with it twice, and failed.
    Given an allocator with 3 workers of 32 cores
    And jobs "1 2" of 1 task of 10 cores that run
    And every worker has reported its runs
    And job "2" runs beside job "1"
    When the worker of job "1" has restarted by the platform's list
    Then jobs "1" and "2" run on different workers

  Scenario: A task whose workers were cut off is not given up by the next allocator
    # The owner declared losses that the allocator before had cleared. The job could
    # not be run for a minute.
    Given a pool of 3 instances in zones "a b c" with 12 workers
    When 62 s pass in the pool
    And a job of 1 task of 12 s is submitted by a client that waits 60 s
    And the worker of the last start is cut off, 2 times in a row
    And all workers can be reached again for 2 s
    And the allocator is killed
    And 4 s pass in the pool
    Then the last job is not answered yet
    And no invariant is violated

  Scenario: A task whose workers restart after its lease has lapsed is given up
    Given an allocator with 4 workers and a job of 1 task that has 60 s
    When the worker of the task is silent until its lease lapses, and restarts, 2 times
    Then the job is given up as failed, for 2 workers that were lost

  Scenario: A task whose workers do not answer is not given up as failed
    # In a cut zone innocent tasks were lost with one silent worker after another,
    # and their jobs were shown as failed.
    Given an allocator with 4 workers and a job of 1 task that has 60 s
    When the worker of the task is silent for good, 3 times
    Then the job is given up with an unknown outcome

  Scenario: A task whose workers crash before they answer its start is not given up as failed
    # Starts that were sent to a worker just after another task had crashed it. They
    # were never carried out, but were taken for crashes once it had restarted.
    Given an allocator with 4 workers that answer no start and a job of 1 task that has 60 s
    When the worker of the task restarts before a report, 2 times
    Then the job is not given up
    When the worker of the task restarts before a report, 1 times
    Then the job is given up with an unknown outcome

  Scenario: A task that was given up is not started for another submission
    Given an allocator with 4 workers and a job of 1 task that has 60 s
    When the worker of the task is silent until its lease lapses, and restarts, 2 times
    And another instance declares the job
    Then the job is given up as failed, for 2 workers that were lost
