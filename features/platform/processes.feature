Feature: The users' program as real processes against a stand-in of their platform

  Background:
    Given 3 processes of the users' program and 6 workers

  Scenario: Jobs sent to any process are served
    When 20 jobs of 2 tasks of 50 ms are sent to the processes in turn
    Then every answer has status 200
    And the workers saw no broken promise

  Scenario: New starts come within 700 ms of the allocator's kill
    When the allocating process is killed under load
    Then the workers saw a start within 700 ms
    And the workers saw no broken promise

  Scenario: New starts come within a second of the allocator's freeze
    When the allocating process is frozen under load
    Then the workers saw a start within 1000 ms
    When the frozen process goes on
    Then the workers saw no broken promise
    And exactly one process says that it allocates

  Scenario: A planned stop cuts no request
    When the allocating process is told to stop under load
    Then every answer has status 200 or 503
    And the stopped process has ended with code 0
    And the workers saw no broken promise

  Scenario: The store is away while the allocator is killed
    When the store is away and the allocating process is killed under load
    Then the workers saw a start within 1500 ms
    And the workers saw no broken promise

  Scenario Outline: A request that can't be taken gets a clear answer
    When <request> is sent
    Then the answer has status <status>
    And a good job is still served

    Examples:
      | request                     | status |
      | a body that is no JSON      | 400    |
      | a body over the bound       | 413    |
      | steps of a wrong type       | 400    |
      | an id of 15 digits          | 400    |
      | a job that must be kept     | 503    |
      | a job of no tasks           | 503    |
      | a job of an unknown queue   | 404    |
      | a question for a job        | 410    |
      | a question for a queue      | 200    |

  Scenario: The configuration changes while jobs come
    When version 2 takes queue 0 away
    Then within 1 s a job of queue 0 gets status 404 from every process

  Scenario: Entries that name no worker harm nothing
    When the store lists entries of other writers
    Then a good job is still served

  Scenario: A process that is only starting is not ended by a reload signal
    # Soak seed 14: SIGHUP came before the program took signals.
    When a process is killed, starts again and gets a reload signal within 250 ms
    Then it serves within 10 s

  Scenario: Counters and latency histograms are served on the metrics port
    When 20 jobs of 2 tasks of 50 ms are sent to the processes in turn
    Then the metrics of a process count jobs and times

  Scenario: A metrics port that is taken keeps no process from serving
    When a process starts whose metrics port is taken
    Then it serves within 10 s
    And its log says "metrics_unserved"
