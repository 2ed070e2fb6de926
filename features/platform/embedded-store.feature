@store
Feature: A small site keeps its state in the process itself

  Scenario: The embedded store swaps, watches and lets leases lapse
    Given an embedded store
    When "colour" is watched
    And "colour" is swapped from version 0 to "red"
    Then the watch sees "red"
    When "colour" is swapped from version 0 to "blue"
    Then the swap was declined and shows "red"
    When "slot" is written under a lease
    And the lease's time has passed
    Then the store holds nothing at "slot"
    And the lease cannot be renewed
