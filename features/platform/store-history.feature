@store
Feature: What is told about writes agrees with the store's own history

  Scenario Outline: Writers under faults are never told anything untrue
    Given a store stand-in
    When 4 writers make 40 writes each under faults of seed <seed>
    Then the history holds every write told as done, and none told as not done

    Examples:
      | seed |
      | 21   |
      | 22   |

  Scenario Outline: Operators under faults accept one manifest after another, each once
    Given a store stand-in
    When 3 operators submit 12 manifests each under faults of seed <seed>
    Then the revisions in the history rise by one, each from one submission
    And the history holds every submission told as accepted, and none told as superseded

    Examples:
      | seed |
      | 31   |
      | 32   |

  Scenario: A call whose bytes reached the store is never unreachable
    Given a server that answers 200 calls with raw bytes of seed 23
    When "colour" is swapped from version 0 to "red" for each of them
    Then no swap whose bytes were received failed as "unreachable"
    And every swap failed with a typed error

  Scenario: An answer that is too large is dropped
    Given a server that answers with 5 MiB
    When "colour" is swapped from version 0 to "red"
    Then the swap failed as "unknown-outcome"

  Scenario: Watches have a bound
    Given a store stand-in
    When "colour" is watched 65 times
    Then 64 watches stand and 1 ended as "rate-limited"

  Scenario: The embedded store has a bound
    Given an embedded store
    When 1001 keys are written
    Then 1000 were written and 1 was refused
