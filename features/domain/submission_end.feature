Feature: The result code of a submission reflects whether a task ran

  Scenario Outline: A code that excludes a run is replaced once a task has started
    Given a submission of 2 tasks of which <count> has started
    When it ends as <given> and the started tasks answer
    Then its outcome is <code> with detail <detail>

    Examples:
      | count | given           | code                 | detail                                           |
      | 0     | CANCELLED       | CANCELLED            | The submission was cancelled before any start.   |
      | 1     | CANCELLED       | CANCELLED_DURING_RUN | The submission was cancelled while tasks ran.    |
      | 1     | DEADLINE_PASSED | DEADLINE_DURING_RUN  | The deadline passed while tasks ran.             |
      | 1     | OVERLOADED      | TASK_LOST            | A task may have run; its answer is lost.         |
