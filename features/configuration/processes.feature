Feature: Configuration patches on real processes

  Scenario: One of ten concurrent patches is accepted
    Given a real fleet of 2 zones with 2 instances each
    When 10 operators patch version 0 of the real fleet at once
    Then one answer is PATCH_ACCEPTED and 9 are PATCH_STALE
    And every process serves version 1 within 2 s

  Scenario: A stopped process is excluded after its lease and catches up
    Given a real fleet of 2 zones with 2 instances each
    When the first process is stopped
    And an operator patches version 0 at the last process
    Then one answer is PATCH_ACCEPTED and 0 are PATCH_STALE
    When the first process is continued
    Then every process serves version 1 within 3 s

  Scenario: A process restarted while the platform is down asks its peers
    Given a real fleet of 2 zones with 2 instances each
    When an operator patches version 0 at the last process
    And the platform stand-in goes down
    And the first process is killed and started again
    Then every process serves version 1 within 5 s

  Scenario: A driver killed while it collects votes blocks patches for 15 s at most
    Given a real fleet of 2 zones with 2 instances each
    When the last process is stopped
    And the first process is killed while it drives a patch of version 0
    And the last process is continued
    Then a patch of version 0 at the last process is accepted within 15 s
