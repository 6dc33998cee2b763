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

  Scenario Outline: A process names the build that it was started from, <before>
    # Two runs of a review case had other results, and no log showed which code
    # they had run. An interrupted build must not look like a complete one.
    Given a deployment whose sources are built, and that <before>
    When the deployment is built with a pip that only records its calls
    Then its packages are those of the sources
    And the build is named by a digest of its sources

    Examples:
      | before                                  |
      | has not changed                         |
      | has another revision of the sources now |
      | was interrupted while it was built      |
      | has packages that were edited           |

  Scenario: An incomplete build has no name
    Given a deployment whose sources are built, and that was interrupted while it was built
    Then the build is unknown

  Scenario: Carried-over libraries of another revision's pins are replaced
    Given deployed libraries that were built for other pins, by a later clock
    When the deployment is built with a pip that only records its calls
    Then the build replaces the libraries

  Scenario: The packages are built without isolation, third-party sources with it
    Given an environment that is complete for another machine
    When make is asked how it sets up
    Then only the packages of the workspace are installed without build isolation
    And the product requires nothing that only benchmarks import
