Feature: A status that HTTP doesn't have is no answer

  Background:
    Given a balancer on the platform
    And a configuration
    And a configuration that allows bodies of 10000000 bytes

  # Guards against a status of a worker in trouble that a caller gets as an answer, and against a cause that tells nothing.
  Scenario Outline: An order that is answered <status> gets no answer of the worker
    Given a worker that answers at once "<status> Odd" of its length, and then an end
    When 2 uploads of <bytes> bytes are sent one after the other
    Then each of them is answered 502 without a part of the answer
    And the log tells of attempts that were broken because "the status <number> is outside 100 to 599"

    Examples:
      | status | number | bytes   |
      | 000    | 0      | 100     |
      | 000    | 0      | 6000000 |
      | 099    | 99     | 100     |
      | 600    | 600    | 100     |
      | 999    | 999    | 6000000 |

  # Guards against the same for the statuses at the limits.
  Scenario: An order that is answered 599 gets the answer of the worker
    Given a worker that answers at once "599 Odd" of its length, and then an end
    When 2 uploads of 100 bytes are sent one after the other
    Then each of them is answered 599 with the answer of the worker

  # Guards against a worker in trouble that counts as one that answers its load queries.
  Scenario Outline: A load query that is answered <status> has failed
    Given workers "w1"
    And a worker that answers at once "200 OK" of its length, and then an end
    When it answers load queries "<status> Odd"
    Then the log tells that load queries failed because "the status <number> is outside 100 to 599"

    Examples:
      | status | number |
      | 000    | 0      |
      | 600    | 600    |
