Feature: Membership of real processes

  Scenario: A killed process is dead in every view within 5 s
    Given a real fleet of 2 zones with 2 instances each
    When the first process is killed
    Then every other process sees it dead within 5 s

  Scenario: A process stopped for 0.5 s stays alive in every view
    Given a real fleet of 2 zones with 2 instances each
    When the first process is stopped for 500 ms
    Then no other process sees it dead in the next 5 s
