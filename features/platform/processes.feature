Feature: Processes of the platform program against a stand-in platform

  Background:
    Given 3 processes of the platform program and 6 workers

  Scenario: Jobs sent to any process are served
    When 20 jobs of 2 tasks of 50 ms are sent to the processes in turn
    Then every answer has status 200
    And the workers report no violated guarantee

  Scenario: Runs start within 700 ms after the allocator is killed
    When the allocating process is killed under load
    Then the workers received a start within 700 ms
    And the workers report no violated guarantee

  Scenario: Runs start within a second after the allocator is frozen
    When the allocating process is frozen under load
    Then the workers received a start within 1000 ms
    When the frozen process is resumed
    Then the workers report no violated guarantee
    And exactly one process logs that it allocates

  Scenario: A graceful shutdown cuts off no request
    When the allocating process gets SIGTERM under load
    Then every answer has status 200 or 503
    And the process that got SIGTERM has ended with code 0
    And the workers report no violated guarantee

  Scenario: The allocator is killed while the store is unreachable
    When the store is unreachable and the allocating process is killed under load
    Then the workers received a start within 1500 ms
    And the workers report no violated guarantee

  Scenario Outline: Invalid and unsupported requests get a defined status
    When <request> is sent
    Then the answer has status <status>
    And a valid job is still served

    Examples:
      | request                       | status |
      | a body that is not JSON       | 400    |
      | a body over the size limit    | 413    |
      | a task spec of 4,001 bytes    | 400    |
      | steps of a wrong type         | 400    |
      | an id of 15 digits            | 400    |
      | a job that is not best-effort | 503    |
      | a job without tasks           | 503    |
      | a job for an unknown queue    | 404    |
      | a GET request for a job       | 410    |
      | a GET request for a queue     | 200    |

  Scenario: A changed configuration is in force within a second
    When version 2 of the configuration removes queue 0
    Then within 1 s a job for queue 0 gets status 404 from every process

  Scenario: Invalid worker entries do not affect jobs
    When the store has worker entries that are invalid
    Then a valid job is still served

  Scenario: A reload signal does not end a process that is still starting
    # SIGHUP ends a process by default until the program has installed its handler.
    # Soak seed 14.
    When a process is killed, starts again and gets a reload signal within 250 ms
    Then it serves within 10 s

  Scenario: Counters and latency histograms are served on the metrics port
    When 20 jobs of 2 tasks of 50 ms are sent to the processes in turn
    Then the metrics of a process include counters and histograms

  Scenario: A process serves jobs although its metrics port is in use
    When a process starts while its metrics port is in use
    Then it serves within 10 s
    And its log says "metrics_unserved"

  Scenario: A process logs which build it runs, and on which kind of machine
    # Runs with other results than ours could not be told from runs of other code.
    Then the first log line of each process names a build and a machine
