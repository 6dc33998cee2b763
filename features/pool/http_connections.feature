Feature: Requests wait for a connection to a worker or the store
  A server has a limited number of connections. A request that finds none free
  waits for the next one; it fails only if the server can't be reached.

  Scenario: Freed connections go to the requests that wait, the oldest first
    Given 2 connections to a server
    When requests a to e are sent
    And all connections are established
    Then the connections carry "a b"
    When connection 2 is answered
    Then the connections carry "a c"
    When connection 1 is answered
    And connection 1 is answered
    Then the connections carry "e c"
    And the outcomes are "b:200 a:200 d:200"

  Scenario: A request that is sent by the outcome of another waits its turn
    Given 1 connection to a server
    When requests a to c are sent, and d when a has an outcome
    And all connections are established
    And connection 1 is answered
    Then the connections carry "b"
    When connection 1 is answered
    And connection 1 is answered
    And connection 1 is answered
    Then the outcomes are "a:200 b:200 c:200 d:200"

  Scenario: A connection that can't be opened fails no request while another one is in use
    Given 2 connections to a server
    When requests a to c are sent
    And connection 1 is established
    And connection 2 is refused
    Then the outcomes are ""
    When connection 1 is answered
    And connection 1 is answered
    And connection 1 is answered
    Then the outcomes are "a:200 b:200 c:200"

  Scenario: Every request fails at once if no connection can be opened
    Given 2 connections to a server
    When requests a to c are sent
    And connection 1 is refused
    And connection 2 is refused
    Then the outcomes are "a:unsent b:unsent c:unsent"
    When requests d to d are sent
    And connection 3 is established
    And connection 3 is answered
    Then the outcomes are "a:unsent b:unsent c:unsent d:200"

  Scenario: A connection that is established after the request timed out serves the next one
    Given 1 connection to a server
    When requests a to a are sent
    And 0.3 s pass for the connections
    And connection 1 is established
    And requests b to b are sent
    Then the connections carry "b"
    And the outcomes are "a:unsent"

  Scenario: Requests that wait when a connection is lost get the next one
    Given 1 connection to a server
    When requests a to b are sent
    And connection 1 is established
    And connection 1 is lost
    And connection 2 is established
    And connection 2 is answered
    Then the outcomes are "a:unanswered b:200"

  Scenario: Requests that wait are served although the server closes each connection
    Given 1 connection to a server
    When requests a to b are sent
    And connection 1 is established
    And connection 1 is answered for the last time
    And connection 2 is established
    And connection 2 is answered
    Then the outcomes are "a:200 b:200"

  Scenario: A waiting request for another incarnation has its own handshake
    Given 1 connection to a server
    When requests a to c are sent for the incarnations "7 7 8"
    And connection 1 is established
    Then the connections carry "handshake"
    When incarnation 7 answers connection 1
    Then the connections carry "a"
    When incarnation 7 answers connection 1
    Then the connections carry "b"
    When incarnation 7 answers connection 1
    Then the connections carry "handshake"
    When incarnation 7 answers connection 1
    Then the connections carry "-"
    And the outcomes are "a:200 b:200 c:other"

  Scenario: A surplus answer is not taken for that of the next request
    Given 1 connection to a server
    When requests a to b are sent
    And connection 1 is established
    And connection 1 is answered twice at once
    And connection 2 is established
    Then the connections carry "b"
    And the outcomes are "a:200"

  Scenario: Requests that wait when the connections are closed are not sent
    Given 1 connection to a server
    When requests a to b are sent, and c when b has an outcome
    And connection 1 is established
    And the connections are closed
    Then the outcomes are "b:unsent c:unsent a:unanswered"
