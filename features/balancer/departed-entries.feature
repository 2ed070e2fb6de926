Feature: Callers are sent to no entry that is off

  Background:
    Given a balancer on the platform
    And a configuration
    And entries in the availability zones "home-a, home-b, home-b"

  # Guards against an entry that loses power and stays on the lists until its lease ends.
  Scenario: An entry that is off is named by none five seconds later
    When entry "dark" of "home-a" is announced and then loses power
    Then within 5000 ms no entry names "dark"
    And the log has a "entry.down" line

  # Guards against an entry whose process stands still and stays on the lists until its lease ends.
  Scenario: An entry that is frozen is named by none five seconds later
    When entry "frozen" of "home-b" is announced and then freezes
    Then within 5000 ms no entry names "frozen"

  # Guards against lists that keep an entry that is off for as long as the store is away.
  Scenario: An entry that goes off while the store is away is named by none five seconds later
    When entry "dark" of "home-a" is announced and then loses power
    And the store is "down"
    Then within 5000 ms no entry names "dark"

  # Guards against a planned stop that is told to nobody but a store that is away.
  Scenario: An entry that stops while the store is away is named by none a second later
    When the store is "down"
    And the log has a "store.lost" line
    And the last entry stops
    Then within 1000 ms no entry names the last one

  # Guards against lists that lose sound entries because one other entry is cut off from them.
  Scenario: An entry that reaches no other one names them all
    When entry "away-1" of "away-a" is announced and then loses power
    And the other entries stop
    And entry "away-2" of "away-b" is announced and then loses power
    And 6000 ms pass at the site
    Then the first entry names "away-1"
    And the first entry names "away-2"

  # Guards against an entry that stays off the lists once it is back.
  Scenario: An entry that is back is named again at once
    When entry "frozen" of "home-b" is announced and then freezes
    And within 5000 ms no entry names "frozen"
    And entry "frozen" announces itself anew
    Then within 1500 ms all entries name "frozen"

  # Guards against an announcement that stays in the store, for entries that join, because its withdrawal is tried only once.
  Scenario: An entry that stops while the store is away withdraws its announcement once the store is back
    When the store is "down"
    And the log has a "store.lost" line
    And the last entry stops
    And 200 ms pass at the site
    And the store is "none"
    Then within 900 ms the store no longer names "entry-3"

  # Guards against an announcement that is written by an entry that has begun to stop.
  Scenario: An entry that stops while it is being announced leaves no announcement
    When the store is "slow-writes"
    And another entry starts and stops while it is being announced
    And the store is "none"
    And 600 ms pass at the site
    Then within 100 ms the store no longer names "entry-4"
