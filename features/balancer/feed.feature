Feature: One entry of an availability zone reads the store for the others

  Background:
    Given a store with a record
    And entry "a" that reads the store, and another one that follows it

  Scenario: A follower learns of changes and asks the store for nothing
    When the record changes
    Then its follower knows of it within 1500 ms
    And its follower asked the store for no changes

  Scenario: A feeder that ends is replaced by the store
    When the feeder ends
    And the record changes
    Then its follower knows of it within 2500 ms

  Scenario: A feeder that is silent is replaced by the store
    When the feeder falls silent
    And the record changes
    Then its follower knows of it within 2500 ms

  Scenario: A feeder that lost the store feeds nothing old
    When the feeder loses the store
    And the record changes
    Then its follower knows of it within 2500 ms

  Scenario: A feeder that starts anew has its followers read everything again from it
    When the record changes while the feeder starts anew
    Then its follower knows of it within 2500 ms
    And its follower asked the store for no changes

  Scenario: What was fed is fed on to a third entry while it is fresh
    Given a third entry that follows the second
    When the record changes
    Then the third entry knows of it within 1500 ms
    And the third entry asked the store for no changes

  Scenario: Entries that follow each other in a circle find out and read the store
    Given a third entry that follows the second
    When the second entry follows the third instead
    And the record changes
    Then its follower knows of it within 2500 ms
    And the third entry knows of it within 2500 ms

  # Guards against an entry that goes back to what an entry behind it knows: upstreams that have left are used again.
  Scenario: A complete read from a feeder that is behind takes nothing back
    When the feeder stops reading but feeds on
    And the follower reads the store while the record changes
    And the store loses its history while the follower turns to the feeder
    Then its follower still knows of it after 1500 ms
    And its follower tells its own followers the revision of the store

  # Guards against an entry that feeds old records as new ones because the store answers it.
  Scenario: An entry that knows that it is behind the store feeds nothing
    Given an entry that reads the store whose watches are never answered
    When the record changes
    Then that entry feeds nothing after 2500 ms

  # Guards against old records that count as new because a read of the revision was as old.
  Scenario: A read of the revision that is older than the records confirms nothing
    Given an entry that reads the store whose watches are never answered
    And reads of the store that may be old are 60000 ms old
    When the record changes
    Then that entry feeds nothing after 2500 ms

  # Guards against entries that all leave their feeder for the store because cheap reads are old for a while.
  Scenario: An entry whose watch works feeds on beside old reads of the revision
    Given an entry that reads the store
    And reads of the store that may be old are 60000 ms old
    When the record changes
    Then that entry feeds the record after 2500 ms

  # Guards against a burst that takes so long to send that followers leave their feeder for the store.
  Scenario: A follower is sent the last version of each record of a burst
    When the record changes 200 times in a burst
    Then a follower from before it is sent one change
