Feature: An upstream that names a limit gets no more than that from all entries together

  Background:
    Given a balancer on the platform
    And a configuration
    And entries in the availability zones "home-a, home-b, home-b"
    And workers "w1, w2"

  # Guards against a limit that no entry keeps, and against one that each entry keeps by itself.
  Scenario: The limit binds the sum over all entries, and the rest goes to others
    Given worker "w1" names the limit "2"
    When look-ups are sent to all entries for 2000 ms
    And look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 10 of them
    And all of them were answered

  # Guards against a limit that is passed over because of how many digits it has.
  Scenario: A limit with many digits binds as well
    Given worker "w1" names the limit "2.0999999999999996"
    When look-ups are sent to all entries for 2000 ms
    And look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 10 of them

  # Guards against retries that pass by the limit.
  Scenario: Retries count
    Given worker "w1" names the limit "2"
    And worker "w2" "error"
    When look-ups are sent to all entries for 2000 ms
    And look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 10 of them

  # Guards against hedges that pass by the limit.
  Scenario: Hedges count
    Given worker "w1" names the limit "2"
    And worker "w2" "slow"
    When look-ups are sent to all entries for 2000 ms
    And look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 10 of them

  # Guards against requests that wait for a limit until their time is over, and against callers who all return together.
  Scenario: What fits into no limit is refused at once, with when to come back
    Given worker "w1" names the limit "1"
    And worker "w2" names the limit "1"
    When look-ups are sent to all entries for 2000 ms
    And look-ups are sent to all entries for 3000 ms
    Then worker "w1" got at most 4 of them
    And worker "w2" got at most 4 of them
    And the others were refused as not run within 300 ms, with when to come back
    And the times to come back are spread over more than 500 ms

  # Guards against a limit that never ends.
  Scenario: A limit ends with an answer that doesn't name it
    Given worker "w1" names the limit "2"
    When look-ups are sent to all entries for 2000 ms
    And worker "w1" names no limit any more
    And look-ups are sent to all entries for 3000 ms
    And look-ups are sent to all entries for 2000 ms
    Then worker "w1" got at least 20 of them

  # Guards against a value that stops an upstream's requests, or the entry, though it is no limit.
  Scenario Outline: A limit of "<value>" is none
    Given worker "w1" names the limit "<value>"
    When look-ups are sent to all entries for 1500 ms
    And look-ups are sent to all entries for 2000 ms
    Then worker "w1" got at least 20 of them
    And all of them were answered

    Examples:
      | value                   |
      | many                    |
      | -1                      |
      | NaN                     |
      | Infinity                |
      | 1e3                     |
      | 2, 3                    |
      | 99999999999999999999999 |

  # Guards against a division by zero, and an upstream that is asked again and again though it takes nothing.
  Scenario: An upstream that takes nothing gets nothing
    Given worker "w1" names the limit "0"
    When look-ups are sent to all entries for 2000 ms
    And look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 1 of them
    And all of them were answered
