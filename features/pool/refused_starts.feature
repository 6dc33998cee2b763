Feature: Starts that are refused are not repeated without a pause

  Scenario: A worker that refuses connections is paused while another one is free
    # Each refusal counted as an answer of the worker, so that it was never paused.
    # One task was placed 30 times there within 30 ms.
    Given an allocator with 2 free workers and a job of 1 task
    When worker 0 can't be reached for 0.3 s
    Then at most 2 starts were sent to worker 0
    And the task runs on worker 1

  Scenario: A task waits out the pause of the only worker
    Given an allocator with 1 free workers and a job of 1 task
    When worker 0 can't be reached for 0.5 s
    Then at most 2 starts were sent to worker 0
    When worker 0 can be reached for 0.3 s
    Then the task runs on worker 0
