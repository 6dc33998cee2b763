Feature: Set-up builds for the machine and the Python that run it

  Scenario Outline: A carried-over environment of another machine or Python is rebuilt
    Given an environment that is complete for <built for>
    When make is asked how it sets up
    Then it <action> the environment

    Examples:
      | built for                             | action   |
      | this machine and Python               | keeps    |
      | another machine                       | rebuilds |
      | another Python                        | rebuilds |
      | a build that doesn't name its machine | rebuilds |

  Scenario Outline: Carried-over libraries of another machine or Python are replaced
    Given deployed libraries that are complete for <built for>
    When the deployment is built with a pip that only records its calls
    Then the build <action> the libraries

    Examples:
      | built for                             | action   |
      | this machine and Python               | keeps    |
      | another machine                       | replaces |
      | another Python                        | replaces |
      | a build that doesn't name its machine | replaces |

  Scenario: The packages are built without isolation, third-party sources with it
    Given an environment that is complete for another machine
    When make is asked how it sets up
    Then only the packages of the workspace are installed without build isolation
    And the product requires nothing that only benchmarks import
