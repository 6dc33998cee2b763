Feature: Requests are forwarded only to known instances

  Scenario: A request whose id names an unknown address is not sent
    Given a forwarder with the known instance "127.0.0.1:8080"
    When a request is forwarded to an owner at "127.0.0.1:6666"
    Then nothing was sent and the owner was not reached

  Scenario: A request whose id names a known instance is sent to it
    Given a forwarder with the known instance "127.0.0.1:8080"
    When a request is forwarded to an owner at "127.0.0.1:8080"
    Then the request was sent to "127.0.0.1:8080"

  Scenario Outline: A probe distinguishes a dead owner from an unrelated answer
    When a probe for epoch "c0ffee" is answered with <body>
    Then the owner is <verdict>

    Examples:
      | body                             | verdict |
      | {"alive":true,"epoch":"c0ffee"}  | alive   |
      | {"alive":true,"epoch":"decade"}  | dead    |
      | {"code":2021}                    | unknown |
      | not JSON                         | unknown |
