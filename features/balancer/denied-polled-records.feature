Feature: An entry takes back nothing that it has polled

  # Guards against workers that an entry has read of, drops as vanished, and never uses again, because a feeder was behind its polls.
  Scenario: A complete read from a feeder that is behind the polls of its follower takes nothing back
    Given a starting entry that polls a store of records
    And a feeder whose records are newer than the first read of that entry
    When a record changes, and the entry polls it
    And the entry follows the feeder
    Then it still knows of the change after 1500 ms
