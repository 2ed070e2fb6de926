Feature: A planned stop passes on nothing that can't be answered before its end

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1"
    And routes that let callers wait for 5000 ms

  # Guards against an order that is passed on when its upload ends late, and is cut with no answer.
  Scenario: An upload that ends late in a stop is refused, and has not run
    Given every worker "hangs"
    When an upload begins, the balancer is told to stop, and the upload ends 900 ms later
    Then the upload was refused as not run, with when to come back
    And the workers got 0 requests in all

  # Guards against an order that is passed on shortly before the end although its worker needs longer.
  Scenario: A request that would be answered after the end is refused, and has not run
    Given every worker "slow"
    And 6 orders were answered
    And worker "w1" reports the load "4,8,4,100"
    When the balancer is told to stop, and an order comes 650 ms later
    Then the order was refused as not run, with when to come back
    And the workers got 6 requests in all

  # Guards against callers whose connection just ends, so that they wait for nothing or know nothing.
  Scenario: A request that is at work at the end gets an answer that promises nothing
    Given every worker "hangs"
    When an order is sent with 5000 ms and the balancer is told to stop meanwhile
    Then the order was answered 504

  Scenario: A request whose time is over before the end is served
    When the balancer is told to stop, and an order with 500 ms comes 500 ms later
    Then the order was answered 200

  # Guards against an order that is taken in a stop because its work is estimated to be short, and is cut at work.
  Scenario Outline: A request that may outlast the stop is refused at once, and has not run
    Given 6 orders were answered
    When the balancer is told to stop, and <what> with <own> ms comes <delay> ms later
    Then the order was refused as not run, with when to come back
    And the refusal took less than 200 ms
    And the workers got 6 requests in all

    Examples:
      | what      | own  | delay |
      | an order  | 3000 | 100   |
      | an order  | 900  | 400   |
      | a look-up | 3000 | 100   |

  Scenario: A request of another entry that may outlast the stop is refused at once, and has not run
    Given another balancer that may relay requests to the first
    When the first balancer is told to stop, and an order is relayed to it with 3000 ms 100 ms later
    Then the relay was answered "not-run" because of "stopping"
    And the workers got 0 requests in all

  # Guards against a second signal that ends the process under the requests that it waits for.
  Scenario: A second stop waits for the same requests as the first
    Given every worker "slow"
    When an order is sent, and the balancer is told to stop twice meanwhile
    Then both stops ended after the order was answered 200
