Feature: The client port uses TLS if the settings have a certificate

  Scenario: Jobs are submitted over https and forwarded between instances
    Given a fleet of 2 availability zones with TLS on the client ports
    When the command line patches and submits over https to every instance
    Then each submission prints "1000 COMPLETE"

  Scenario: An untrusted certificate is reported
    Given a fleet of 2 availability zones with TLS on the client ports
    When guavaroadctl reads the configuration without trusting the certificate
    Then it exits with 6
    And it notes "certificate verify failed"

  Scenario Outline: An invalid certificate or key is reported
    Given the settings of an instance
    And a certificate and its key
    And the TLS settings have <change>
    When the settings are loaded
    Then they are refused with "<message>"

    Examples:
      | change                 | message                             |
      | no certificate file    | nowhere.pem No such file            |
      | a foreign key          | is not the key of                   |
      | an expired certificate | expired at                          |
      | text instead of a key  | holds no PEM key without a password |
      | text instead of a CA   | holds no PEM certificate            |
