Feature: A request is forwarded to known instances alone

  Scenario: An id that names a stranger's address sends nothing there
    Given a forwarder that knows the instance at "127.0.0.1:8080"
    When a request is forwarded to an owner at "127.0.0.1:6666"
    Then nothing was sent and the owner was not reached

  Scenario: An id that names a known instance is forwarded there
    Given a forwarder that knows the instance at "127.0.0.1:8080"
    When a request is forwarded to an owner at "127.0.0.1:8080"
    Then the request was sent to "127.0.0.1:8080"

  Scenario Outline: A probe tells a gone owner from an answer of something else
    When a probe for epoch "c0ffee" is answered with <body>
    Then the owner is <verdict>

    Examples:
      | body                             | verdict |
      | {"alive":true,"epoch":"c0ffee"}  | alive   |
      | {"alive":true,"epoch":"decade"}  | gone    |
      | {"code":2021}                    | unknown |
      | not JSON                         | unknown |
