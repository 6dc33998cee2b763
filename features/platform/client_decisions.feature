Feature: Decisions about clients outside the limits

  On a fake clock and fake transports.

  Scenario: The largest holders are refused until an eighth of the limit is free
    Given clients a, b, c that hold 500, 90, 300 bytes
    Then over a limit of 890 bytes no client is refused
    And over a limit of 800 bytes clients a are refused
    And over a limit of 300 bytes clients a, c are refused

  Scenario: Idle connections are closed first, handled ones never
    Given open connections that are handling since 1 s, receiving since 5 s, idle since 9 s, receiving since 4 s, idle since 8 s
    Then connections are closed in the order 8, 9, 4, 5

  Scenario: The limits of a machine
    Then a machine with 300 MB and 4100 descriptors holds 37500000 bytes on 2925 connections
    And a machine with 1 MB and 100 descriptors holds 655360 bytes on 16 connections

  Scenario: Whatever is inside the limits is served
    Given a listener whose handler answers at once
    When a body of 262144 bytes arrives in chunks of 1 byte
    And all turns are over
    Then 1 request is answered

  Scenario: Pipelined requests are answered in turns
    Given a listener whose handler answers at once
    When 60 clients send 200 requests at once
    Then at most 600 requests are answered
    And an ordinary request of another client is answered at once
    And after a turn at most 200 more requests are answered
    And after all turns every request is answered

  Scenario: Small chunks are parsed in turns
    Given a listener whose handler answers at once
    When 60 clients send 2000 chunks of 1 byte at once
    Then at most 65000 bytes of bodies are parsed
    And an ordinary request of another client is answered at once

  Scenario: A client that reads no answers waits
    Given a listener whose handler answers at once
    When a client whose answers are unread sends a request
    Then 0 requests are answered
    And once its answers are read 1 request is answered

  Scenario: A refusal follows the answers of earlier requests
    Given a listener whose handler answers later
    When a client sends a request, and then what is no request
    Then it gets 200 and 400 once the first one is answered

  Scenario: A body that is too slow ends, others do not
    Given a listener whose handler answers at once
    When bodies arrive at 100 and at 20000 bytes a second for 5 s
    Then only the first client is disconnected

  Scenario: A pause of the process disconnects nobody
    Given ports with a client that has sent half a request
    When the process pauses for 10 s
    Then the client is still connected
    And it is disconnected when it sends nothing for 4 s more

  Scenario: A body of a slow client that makes progress does not end
    # The slowest body was 16 KiB a second, which real clients fall below.
    Given a listener whose handler answers at once
    When bodies arrive at 100 and at 2000 bytes a second for 60 s
    Then only the first client is disconnected

  Scenario: Refusing clients that read no answers refuses each of them once
    # The refusal was an answer more to hold, which refused the next one, and so on:
    # the process ran into the limit of recursion.
    Given 2000 holders of 1000 bytes each whose refusals are held as well
    When one of them holds more than the limit
    Then no holder is refused twice

  Scenario: A client that reads no answers is disconnected instead of refused
    Given a listener whose handler answers at once
    When a client whose answers are unread is refused for its memory
    Then it is disconnected without an answer
    And it holds nothing any more

  Scenario: A request gets one refusal
    # Memory ran out while the answer before it was written, and again right after.
    Given a listener whose handler answers later
    When a client sends a request, and is refused for its memory while that is answered
    Then its answers have the statuses 200, 503

  Scenario: The headers of a request are not kept beyond it
    Given a listener whose handler answers later
    When a client sends a request with a header of 8000 bytes
    Then its connection keeps no header

  Scenario: A request behind a handled one may take as long as any other
    # Its time-out counted from before the answer to the request before it.
    Given a listener whose handler answers later
    When a client sends a request and half of another one, and the first is answered 10 s later
    Then the client is still connected
    And the connection is closed when it sends nothing for 4 s more
