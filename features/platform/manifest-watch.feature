@store
Feature: The manifest is watched through outages and never goes back

  Background:
    Given a store stand-in
    And manifest "A" is submitted as "s1" based on 0
    And the manifest is watched
    And the watch has handed on revision 1

  Scenario: The watch goes on after an outage
    When the store is at fault by {"down": "refused"}
    Then the manifest watch is "waiting"
    When the store is at fault by {}
    And manifest "B" is submitted as "s2" based on 1
    Then the watch has handed on revision 2
    And "store.down" was reported 1 time
    And "store.up" was reported 1 time

  Scenario: A store that holds its answers back counts as down, and the watch goes on after it
    When the store is at fault by {"down": "held"}
    Then the manifest watch is "waiting"
    When the store is at fault by {}
    And manifest "B" is submitted as "s2" based on 1
    Then the watch has handed on revision 2

  Scenario: A frozen store counts as down, and the watch goes on when it wakes
    When the store's process is frozen
    Then the manifest watch is "waiting"
    When the store's process is resumed
    And manifest "B" is submitted as "s2" based on 1
    Then the watch has handed on revision 2

  Scenario: A stale reading is refused and reported once
    Given manifest "B" is submitted as "s2" based on 1
    And the watch has handed on revision 2
    When the store is at fault by {"staleRevision": 1}
    Then 3 values of the store were refused
    And "store.manifest-older" was reported 1 time
    And revisions 1, 2 were handed on

  Scenario: A restored older value is refused, and the newer one can be put back
    Given manifest "B" is submitted as "s2" based on 1
    And the watch has handed on revision 2
    When the store is restored to revision 1
    Then 1 value of the store was refused
    And revisions 1, 2 were handed on
    When the newest record is put back
    Then the store's manifest is "B" at revision 2

  Scenario: A submission to a restored store follows the newest known revision
    Given manifest "B" is submitted as "s2" based on 1
    And the watch has handed on revision 2
    When the store is restored to revision 1
    And manifest "C" is submitted as "s3" based on 1 by one who knows what was handed on
    Then the outcome is "superseded" by revision 2
    When manifest "C" is submitted as "s3" based on 2 by one who knows what was handed on
    Then the outcome is "accepted" at revision 3
    And the watch has handed on revision 3

  Scenario: Nonsense values are refused, and the next record is still handed on
    When 200 nonsense values of seed 14 are written to the manifest
    And a sound revision 2 is written to the manifest
    Then the watch has handed on revision 2
    And revisions 1, 2 were handed on
