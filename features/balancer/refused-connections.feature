Feature: A caller that is answered outside the request path can rely on that answer

  Background:
    Given a balancer on the platform
    And a configuration with a timeout of 5000 ms
    And workers "w1"

  # Guards against an order that runs although its caller was told that it never will.
  Scenario: An order that arrives after a 408 doesn't run
    When a caller connects and sends an order once its connection is answered
    Then the connection was answered 408
    And the order has not run

  # Guards against a 408 for a request that had arrived, which its caller has to send again.
  Scenario: An order that arrived while the process stood still is served
    When a caller connects, waits 300 ms, and sends an order just before the process stands still for 4000 ms
    Then the connection was answered 200
    And the order has run once

  # Guards against a head that is read in two parts after a pause, and refused between them.
  Scenario: An order of which a part arrived while the process stood still is served
    When a caller connects and sends a part of an order just before the process stands still for 4000 ms, and the rest after it
    Then the connection was answered 200
    And the order has run once

  # Guards against a head that never ends and holds its connection for good.
  Scenario: A head that trickles in is refused
    When a caller connects and sends a byte of a head each 200 ms
    Then the connection was answered 408 within 6500 ms

  # Guards against a refusal of what comes behind an order, which its caller takes for the answer to the order.
  Scenario Outline: <what> behind an order at work gets no answer before the order's
    Given all workers answer after 400 ms
    When a caller sends an order, and <what> behind it on the same connection
    Then the connection was answered 200, and closed after it
    And the order has run once

    Examples:
      | what                      |
      | bytes that are no request |
      | a head that is too large  |

  # Guards against the same while the head behind the order is cut.
  Scenario: A cut head behind an order at work gets no answer before the order's
    Given all workers answer after 4500 ms
    When a caller sends an order, and a part of a head behind it on the same connection
    Then the connection was answered 200, and closed after it
    And the order has run once

  # Guards against malformed requests that get no answer at all.
  Scenario: Bytes that are no request are refused
    When a caller sends bytes that are no request
    Then the connection was answered 400
