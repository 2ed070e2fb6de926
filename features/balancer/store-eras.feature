Feature: A store that comes back from an older copy hides no change

  Background:
    Given a store that names its era, with a record
    And an entry that reads that store
    And an entry that follows that one

  # Guards against a watch that goes on at a revision which the store has given out again: the change before it is never seen.
  Scenario: The store has passed the old revision when it is asked again
    Given 3 other records are written, of which the store takes no copy
    When the store comes back from its copy, and the record and 5 others are written at once
    Then both entries know of it within 2500 ms

  # Guards against a follower that waits for its feeder to reach a revision of a history that is gone.
  Scenario: The store stays behind the old revision
    Given 20 other records are written, of which the store takes no copy
    When the store comes back from its copy, and the record is written at once
    Then both entries know of it within 2500 ms

  Scenario: Two drills in a row
    Given 3 other records are written, of which the store takes no copy
    When the store comes back from its copy, and the record and 1 others are written at once
    And the store comes back from its copy, and the record and 5 others are written at once
    Then both entries know of it within 2500 ms

  # Guards against an entry that takes the records of an earlier era for newer ones, as their revisions are higher.
  Scenario: A feeder that has missed the drill takes no follower back
    Given a feeder of a higher revision that reads nothing any more and counts as fresh
    When the store comes back from its copy, and the record is written at once
    And the follower may follow that feeder, or else the entry that reads the store
    Then both entries know of it within 2500 ms
    And the follower still knows of it after 3000 ms

  # Guards against the read of all entries at once that a drill could cause, and one that goes on and on.
  Scenario: A drill costs one complete read of the store
    Given 3 other records are written, of which the store takes no copy
    When the calls of the store are counted
    And the store comes back from its copy, and the record and 5 others are written at once
    Then both entries know of it within 2500 ms
    And the store was read as a whole 1 times

  # Guards against an answer that names no era, or an odd one, as the end of all reading.
  Scenario Outline: A store whose answers name <era> as the era is taken for the same one
    When the answers of the store name <era> as the era
    And the record changes, and no copy is taken
    Then both entries know of it within 2500 ms
    When the record changes, and no copy is taken
    Then both entries know of it within 2500 ms
    And the reader has read all records at most 1 times
    And the reader has logged one odd era

    Examples:
      | era     |
      | nothing |
      | a word  |
      | 0       |

  # Guards against an entry of an earlier build whose revisions are compared with those of another era.
  Scenario: A follower that names no era is fed nothing where the store names one
    Then a follower that names no era is turned away
    And a follower of era 0 is told the era and no changes

  # Guards against leases of other entries that are renewed or ended, since their ids are given out again.
  Scenario: An entry renews and ends no lease that another entry got after a drill
    Given an announced entry whose lease the store takes no copy of
    When the store comes back from its copy, and another entry gets that lease
    Then that entry's lease was neither renewed nor ended after 5000 ms, and the first one is announced again
    When the first entry ends
    Then its announcement is gone, and that of the other entry is not

  # Guards against a lease that an entry ends after a drill which nothing has shown it yet.
  Scenario: An entry that stops right after a drill ends no lease of another
    Given an announced entry whose lease the store takes no copy of
    When the store comes back from its copy, and another entry gets that lease
    And the first entry ends at once
    Then the announcement of the other entry is still there
