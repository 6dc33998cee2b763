Feature: Memory of processes of the platform program

  Scenario: A process keeps nothing of links that were made and lost
    # A guard for a path beside review case 9: no growth was found there.
    Given 1 processes of the platform program and 2 workers
    When 100 links to a process are made, used and reset
    And its memory and descriptors are measured
    And 1000 links to a process are made, used and reset
    Then its memory has grown by at most 10 %
    And it has at most 5 more descriptors
