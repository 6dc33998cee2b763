Feature: The client port speaks TLS when the settings have certificates

  Scenario: Jobs pass over https, also from one instance to another
    Given a fleet of 2 availability zones with TLS on the client ports
    When the command line patches and submits over https to every instance
    Then each submission prints "1000 COMPLETE"

  Scenario: A certificate that is not trusted is a clear message
    Given a fleet of 2 availability zones with TLS on the client ports
    When guavaroadctl reads the configuration without trusting the certificate
    Then it exits with 6
    And it notes "certificate verify failed"

  Scenario Outline: A bad certificate or key is named
    Given the settings of an instance
    And a certificate and its key
    And the TLS settings have <change>
    When the settings are loaded
    Then they are refused with "<message>"

    Examples:
      | change                 | message                              |
      | no certificate file    | nowhere.pem No such file             |
      | a key of another       | is not the key of                    |
      | an expired certificate | expired at                           |
      | text for a key         | holds no PEM key without a password  |
      | text for the trust     | holds no PEM certificate             |
