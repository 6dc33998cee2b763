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

  Scenario: The last attempt waits for a worker with a success since the failure
    Given a task of two attempts that has just failed on a worker
    Then it may not use that worker
    And it may not use a worker whose last success is older
    And it may use a worker that has succeeded since
    And it may use any worker after 0.25 s
    And it may use any worker at once if its deadline is near
