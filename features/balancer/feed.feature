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
