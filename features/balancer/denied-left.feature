Feature: No caller that leaves is told that its request is wrong

  Background:
    Given a balancer on the platform
    And workers "w1"

  # Guards against a 400 for an order of which no byte was wrong, because its caller closed before the end.
  Scenario Outline: A caller that closes <where> gets no answer
    Given a configuration
    When 20 callers close in an orderly way <where>
    Then none of them got an answer

    Examples:
      | where                            |
      | within the head of a look-up     |
      | within the body of an order      |
      | within a chunk of an order       |
      | between two chunks of an order   |

  # Guards against a 400 on a connection on which no request waits, which belongs to no request.
  Scenario: An order that was refused before its body gets no second answer
    When 20 callers close in an orderly way once the head of an order is refused
    Then each of them got the statuses "503"
