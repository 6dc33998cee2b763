Feature: Invalid limits are refused by name

  Scenario Outline: The problem of a configuration names the invalid limit
    When a configuration sets <path> to <number>
    Then it is refused with a problem that names "<named>"

    Examples:
      | path                      | number | named                   |
      | classes.urgent.share      | 1.5    | classes.urgent.share    |
      | classes.low.share         | -0.1   | classes.low.share       |
      | classes.low.share         | 0.6    | classes: shares add up  |
      | teams.office.weight       | 0      | teams.office.weight     |
      | teams.office.max_queued_tasks | -1 | teams.office.max_queued |
      | reserve                   | -0.2   | reserve                 |
      | reserve                   | 0.9    | reserve                 |
