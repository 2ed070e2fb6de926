Feature: Look-ups that wait behind another one on their connection

  # Guards against look-ups that go on at workers after their caller has left (GONE), and memory that is never given back.
  Scenario: Look-ups behind another one are given up when their caller leaves
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And every worker "hangs"
    When a caller sends 3 look-ups on one connection, and leaves after 200 ms
    Then no worker is at work 500 ms later, and no request is in flight
