Feature: Metrics

  Scenario: The metrics count the requests and tasks of a submission
    Given an instance in memory
    When a client submits a task and disconnects
    And the upstream answers
    And the metrics are read
    Then the metrics have these samples
      | sample                                            | value |
      | guavaroad_tasks_queued_total                      | 1     |
      | guavaroad_attempts_started_total                  | 1     |
      | guavaroad_attempts_ended_total{outcome="Answered"} | 1     |
      | guavaroad_attempt_seconds_count                   | 1     |
      | guavaroad_requests_total{code="1003"}             | 1     |
      | guavaroad_requests_total{code="1000"}             | 1     |
      | guavaroad_submissions_open                        | 0     |
      | guavaroad_tasks_waiting                           | 0     |
      | guavaroad_client_connections                      | 2     |
    And each metric of the project has a unit or count suffix

  Scenario: Two instances in one process share no metric
    Given an instance in memory
    And a second instance in memory
    When a client submits 1 tasks
    Then the second instance has counted no tasks
