Feature: Attempts are spent on workers that succeed

  Scenario Outline: Few jobs fail by workers that fail their runs
    # Two attempts of a task met faulty workers: 11 and 10 jobs failed here.
    Given 48 workers, 4 of which fail <part> of 100 runs for 1.5 s in turn, and seed <seed>
    When jobs of two attempts run for 15 s
    Then at most 3 jobs fail
    And no task ran twice at once

    Examples:
      | part | seed |
      | 100  | 2    |
      | 40   | 2    |

  Scenario: Tasks that fail anywhere cost no worker its turn
    Given 48 workers, and every tenth short job fails on any worker
    When jobs of two attempts run for 15 s
    Then only those jobs fail
    And at least 40 workers are unsuspected

  Scenario: One failure on a healthy pool makes a worker suspected, two eject it
    Given a worker on a healthy pool
    When a run on it fails
    Then it is suspected but not ejected
    And it may have one more task only while it has none
    When a run on it fails
    Then it is ejected
    When 1 s passes and 4 runs on it succeed
    Then it is unsuspected

  Scenario: Where many tasks fail, one failure says little about a worker
    Given a worker on a pool where 10 of 100 runs fail
    When a run on it fails
    Then it is unsuspected

  Scenario Outline: The last attempt waits for a worker with a success since the failure
    Given a task of two attempts that failed on "w0" at 100 s, with a deadline at <deadline> s
    Then at <now> s it may <use> worker "<worker>" that has succeeded at <success> s

    Examples:
      | deadline | now    | worker | success | use     |
      | 105      | 100.1  | w0     | 100.1   | not use |
      | 105      | 100.1  | w1     | 99.9    | not use |
      | 105      | 100.1  | w1     | 100.05  | use     |
      | 105      | 100.25 | w1     | 99.9    | use     |
      | 100.3    | 100.1  | w1     | 99.9    | use     |

  Scenario: Jobs that wait for a better worker keep no other job waiting
    # A pass of placement ended with the sixth job that found no worker.
    Given 8 failed tasks that wait for a worker with a success
    When another job arrives
    Then its tasks start at once
