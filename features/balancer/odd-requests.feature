Feature: No request or answer ends an entry, whatever bytes are in it

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And what would end the process is recorded

  # Guards against a caller, or another entry, that ends an entry with a request target that is no URL.
  Scenario Outline: Odd targets are answered with an error: <port>
    When requests with odd targets are sent to the port <port>
    Then nothing would have ended the process
    And each of them was answered
    When look-ups are sent to all entries for 200 ms
    Then all look-ups were served

    Examples:
      | port                 |
      | for callers          |
      | for lists of entries |
      | for readiness        |
      | for followers        |

  # Guards against a sound answer that is lost because of a header that can't be written as it was read.
  Scenario: An answer with bytes beyond ASCII in a header is passed on as it is
    When every worker "has-odd-headers"
    And look-ups are sent to all entries for 200 ms
    Then all look-ups were served
    And their header "x-cheese" has the bytes of the worker
    And nothing would have ended the process
