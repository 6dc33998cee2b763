Feature: Run times of tasks on workers of uneven speed

  Scenario Outline: Long jobs are in time on uneven workers
    # The tightest fit put long tasks on slow workers, where half of their jobs
    # were late while fast workers were idle.
    Given 16 workers of speed 0.7 and 8 of speed 1.7 with a <load> fold load and seed <seed>
    When tasks run for 20 s without run times, with them, and with known ones
    Then at most <late> of 100 long jobs are late, and less than half of those without
    And after 5 s at most 10 of 100 long jobs are late
    And with known run times no more are late
    And no short job is late
    And no task ran twice at once

    Examples:
      | load | seed | late |
      | 1    | 1    | 15   |
      | 1.6  | 2    | 15   |

  Scenario: On even workers the choice is the tightest fit
    Given 16 workers of speed 1 and 8 of speed 1 with a 2 fold load and seed 1
    When tasks of exact estimates run for 10 s without run times and with them
    Then both have started the same tasks on the same workers

  Scenario: A new worker has the speed of its label at once
    Given run times learned from 60 runs on workers of labels "slow" and "fast"
    Then a new worker of label "fast" is expected to run a task in less than half of the time of one of "slow"
    And both are in different speed classes

  Scenario: Few runs that take seven times as long change no expected time
    Given run times learned from 60 runs on workers of labels "slow" and "fast"
    When a run on "slow" takes 7 times as long
    Then the expected time on "slow" has grown by at most 5 of 100

  Scenario Outline: A straggler is moved only where it ends sooner
    # Tasks that were long themselves were stopped and started three times.
    Given run times learned from 60 runs on workers of labels "slow" and "fast"
    When a run on "slow" is at <percent> of 100 after 2 s and <worker>
    Then it <is moved>

    Examples:
      | percent | worker                              | is moved     |
      | 10      | no other run has ended there        | is moved     |
      | 10      | another run has ended there in time | is not moved |
      | 10      | its task has been moved before      | is not moved |
      | 0       | its task has been moved before      | is moved     |
      | 90      | no other run has ended there        | is not moved |

  Scenario: A run that was adopted teaches nothing
    Given an allocator that has adopted a run
    When the adopted run ends
    Then no run time is learned
