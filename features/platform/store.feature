@store
Feature: Calls to the store say truthfully what became of them

  Background:
    Given a store stand-in

  Scenario: A value is swapped only where the expected version stands
    When "colour" is swapped from version 0 to "red"
    Then the swap took effect
    When "colour" is swapped from version 0 to "blue"
    Then the swap was declined and shows "red"
    And the store holds "red" at "colour"

  Scenario: A store that refuses connections is unreachable, so nothing took effect
    Given the store is at fault by {"down": "refused"}
    When "colour" is swapped from version 0 to "red"
    Then the swap failed as "unreachable"
    Given the store is at fault by {}
    Then the store holds nothing at "colour"

  Scenario: A write whose answer is lost has an unknown outcome
    Given the store is at fault by {"lostAnswers": 1}
    When "colour" is swapped from version 0 to "red"
    Then the swap failed as "unknown-outcome"
    And the store holds "red" at "colour"

  Scenario: A write that the store holds back past the deadline has an unknown outcome
    Given the store is at fault by {"down": "held"}
    When "colour" is swapped from version 0 to "red"
    Then the swap failed as "unknown-outcome"

  Scenario: Another endpoint is used when the first refuses connections
    Given the client knows an endpoint before it that nobody serves
    When "colour" is swapped from version 0 to "red"
    Then the swap took effect

  Scenario: Calls over the limit are not sent
    Given the client may make 1 call a second
    When "colour" is read 5 times at once
    Then 4 reads failed as "rate-limited"
    And the store received 1 call of kind "range"

  Scenario: A watch reports changes, and its end when the store goes down
    When "colour" is watched
    And "colour" is swapped from version 0 to "red"
    Then the watch sees "red"
    When the store is at fault by {"down": "refused"}
    Then the watch ends

  Scenario: A lapsed lease takes its keys along
    When "slot" is written under a lease
    And every lease lapses
    Then the store holds nothing at "slot"
    And the lease cannot be renewed

  Scenario: Nonsense from the store gives typed errors
    When 300 nonsense answers are given to every call with seed 11
    Then every call failed with a typed error or gave a typed answer
