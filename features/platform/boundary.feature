Feature: The names of the platform's wire format occur in one folder only

  Scenario: No source outside platform/ uses them
    When the sources of the packages and the stand-ins are read
    Then none of them has a name of the platform's wire format

  Scenario: The folder is small
    When the sources of platform/ are read
    Then they have fewer than 1500 lines
