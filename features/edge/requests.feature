Feature: Malformed and abusive requests

  Scenario Outline: A malformed request gets a specific error and starts no task
    Given an instance in memory
    When a client sends <method> <path> with token <token> and body <body>
    Then the answer has code <code> and its detail says <detail>
    And a valid submission still starts its tasks

    Examples:
      | method | path                          | token           | body                                           | code               | detail                   |
      | GET    | /v2                           | office-secret   | none                                           | NOT_FOUND          | no such page             |
      | GET    | /v1/jobs//submissions         | office-secret   | none                                           | METHOD_NOT_ALLOWED | does not take            |
      | GET    | /%ff%00/%zz                   | office-secret   | none                                           | NOT_FOUND          | no such page             |
      | PUT    | /v1/config                    | operator-secret | none                                           | METHOD_NOT_ALLOWED | does not take            |
      | POST   | /v1/jobs/render/submissions   | wrong-secret    | {"tasks": []}                                  | UNAUTHENTICATED    | token                    |
      | POST   | /v1/jobs/render/submissions   | operator-secret | {"tasks": []}                                  | FORBIDDEN          | may not                  |
      | POST   | /v1/jobs/render/submissions   | rival-secret    | {"tasks": [{"payload": 1}]}                    | FORBIDDEN          | may not                  |
      | GET    | /v1/state                     | office-secret   | none                                           | FORBIDDEN          | may not                  |
      | POST   | /v1/jobs/%2e%2e%2fx/submissions | office-secret | {"tasks": [{"payload": 1}]}                    | UNKNOWN_JOB        | no such job              |
      | POST   | /v1/jobs/render/submissions   | office-secret   | {"tasks"                                       | BAD_REQUEST        | truncated                |
      | POST   | /v1/jobs/render/submissions   | office-secret   | {"tasks": [{"payload": 1, "extra": 2}]}        | BAD_REQUEST        | `extra`                  |
      | POST   | /v1/jobs/render/submissions   | office-secret   | {"tasks": []}                                  | BAD_REQUEST        | tasks is empty           |
      | POST   | /v1/jobs/render/submissions   | office-secret   | {"tasks": [{"payload": 1}], "deadline_ms": -1} | BAD_REQUEST        | deadline_ms              |
      | POST   | /v1/jobs/render/submissions   | office-secret   | {"tasks": [{"payload": 1}], "deadline_ms": 99999999999} | BAD_REQUEST | deadline_ms             |
      | POST   | /v1/submission-ids            | office-secret   | {"count": 0}                                   | BAD_REQUEST        | count                    |
      | POST   | /v1/submission-ids            | office-secret   | [                                              | BAD_REQUEST        | object                   |
      | PATCH  | /v1/config                    | operator-secret | {}                                             | BAD_REQUEST        | If-Match                 |

  Scenario Outline: A malformed header gets a specific error
    Given an instance in memory
    When a client sends a submission with header <name> of bytes <hex>
    Then the answer has code <code> and its detail says <detail>
    And a valid submission still starts its tasks

    Examples:
      | name            | hex        | code              | detail         |
      | Idempotency-Key | ffc3a9     | BAD_SUBMISSION_ID | fields         |
      | Idempotency-Key | 617e627e63 | BAD_SUBMISSION_ID | fields         |
      | Content-Length  | 6162       | BAD_REQUEST       | not HTTP       |
      | Content-Length  | 2d35       | BAD_REQUEST       | not HTTP       |

  Scenario: An oversized body is refused before it is received
    Given an instance in memory that accepts bodies of 2000 bytes
    When a client announces a body of 2001 bytes
    Then the answer has code BODY_TOO_LARGE and its detail says size limit
    And the instance holds 0 bytes of bodies

  Scenario: An oversized chunked body is refused at the chunk that exceeds the limit
    Given an instance in memory that accepts bodies of 2000 bytes
    When a client sends 3 chunks of 900 bytes
    Then the answer has code BODY_TOO_LARGE and its detail says size limit
    And the instance holds 1800 bytes of bodies
    And after 2 seconds it has closed the connection and holds 0 bytes

  Scenario: The bodies of all connections share one bound
    Given an instance in memory that buffers 3000 bytes of bodies
    When 4 clients announce bodies of 1000 bytes
    Then the last client is refused with OVERLOADED
    And the instance holds 3000 bytes of bodies

  Scenario: A body over 100 KB is kept in memory and not in a file
    Given an instance in memory
    When a client announces a body of 200000 bytes
    Then the body is kept in memory

  Scenario Outline: A body of <what> gets a specific error
    Given an instance in memory
    When a client submits a payload of <what>
    Then the answer has code BAD_REQUEST and its detail says <detail>
    And a valid submission still starts its tasks

    Examples:
      | what             | detail   |
      | 100000 brackets  | nested   |
      | bytes not UTF-8  | utf-8    |

  Scenario Outline: An upstream's answer of <what> fails its task and frees its slot
    When an upstream answers with <what>
    Then the attempt has failed

    Examples:
      | what             |
      | 100000 brackets  |
      | bytes not UTF-8  |
      | half an object   |

  Scenario: An upstream's answer over the bound is discarded
    When an upstream sends 5000 bytes to a client that accepts 1000
    Then the attempt is lost and the connection aborted

  Scenario: A body is never parsed as a form
    Given an instance in memory
    When a client sends a submission as a form
    Then the upstreams receive 1 task

  Scenario: A submission of 100,000 tasks is refused
    Given an instance in memory
    When a client submits 100000 tasks
    Then the answer has code TOO_MANY_TASKS and its detail says more tasks
    And the upstreams receive 0 tasks

  Scenario: A request that is sent too slowly times out
    Given an instance in memory
    When a client sends one byte every second for 30 seconds
    Then the answer has code REQUEST_TIMEOUT and its detail says in time
    And the connection is closed

  Scenario: A connection over the bound is refused with an answer
    Given an instance in memory that serves 2 connections
    When 3 clients connect
    Then the last client is refused with TOO_MANY_CONNECTIONS
    And after 2 seconds the instance has 2 connections

  Scenario: A client that disconnects does not abort its submission
    Given an instance in memory
    When a client submits a task and disconnects
    And the upstream answers
    Then a resubmission gets the stored answer
    And the upstreams receive 1 task

  Scenario: An internal error discloses no details
    Given an instance in memory
    When a handler raises an error with a secret in it
    Then the answer has code INTERNAL and its detail says internal error
    And the secret is in the log and not in the answer
