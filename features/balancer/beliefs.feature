Feature: What an entry believes from the store

  Background:
    Given a balancer on the platform

  Scenario: Without a configuration it is not ready, and says that nothing ran
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 503 within 300 ms
    And the answer says when to come back
    And it is not ready

  Scenario: An older configuration never replaces a newer one
    Given a configuration
    And workers "w1"
    When the store shows an older configuration without routes
    And 100 ms pass at the site
    And a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200 with body "w1 ran /read/a"

  Scenario: A configuration that can't be read changes nothing and is told
    Given a configuration
    And workers "w1"
    When the store shows a configuration that can't be read
    Then the log has a "configuration.unreadable" line
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200 with body "w1 ran /read/a"

  Scenario: A worker that drains gets nothing more, even if an older announcement is read later
    Given a configuration
    And workers "w1, w2"
    When worker "w1" announces that it drains
    And worker "w1" announces an older state
    And 10 look-ups are sent
    Then worker "w1" got none of them

  Scenario: A worker that vanishes gets nothing more
    Given a configuration
    And workers "w1, w2"
    When worker "w1" vanishes from the store
    And 10 look-ups are sent
    Then worker "w1" got none of them

  Scenario: Workers that vanish together while the store answers are gone at once
    Given a configuration
    And workers "w1, w2, w3, w4, w5, w6"
    When workers "w1, w2, w3, w4, w5" lapse from the store together
    Then worker "w5" is no longer used after 1500 ms

  Scenario: A record that can't be read names no worker, and the others hold
    Given a configuration
    And workers "w1"
    When the store shows bytes that can't be read as worker "w9"
    Then the log has a "upstream.unreadable" line
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200 with body "w1 ran /read/a"

  Scenario: Workers are used on through an outage of the store, and told
    Given a configuration
    And workers "w1"
    When the store is "down"
    Then the log has a "store.lost" line
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200 with body "w1 ran /read/a"
    When the store is "none"
    Then the log has a "store.regained" line

  Scenario: Workers whose records lapsed in an outage are used until they had time to return
    Given a configuration
    And workers "w1"
    When the store is "down"
    Then the log has a "store.lost" line
    When worker "w1" lapses from the store
    And the store is "none"
    Then the log has a "store.regained" line
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200 with body "w1 ran /read/a"
    And worker "w1" is no longer used after a few seconds

  Scenario: An entry that was cut off drops what left meanwhile within three seconds
    Given a configuration
    And workers "w1, w2"
    When the store is "down"
    Then the log has a "store.lost" line
    When worker "w1" lapses from the store
    And 1500 ms pass at the site
    And the store is "none"
    Then worker "w1" is no longer used after 3000 ms

  Scenario: A watch that was begun in an outage is begun anew after it
    Given a configuration
    And workers "w1, w2"
    When the store is "swallowing"
    Then the log has a "store.lost" line
    When 1000 ms pass at the site
    And the store is "none"
    Then the log has a "store.regained" line
    When worker "w1" announces that it drains behind the silence
    Then worker "w1" is no longer used after 1000 ms

  Scenario: A watch that goes silent is found out
    Given a configuration
    And workers "w1, w2"
    When the store is "silent-watch"
    And worker "w1" announces that it drains behind the silence
    Then the log has a "upstream.leaving" line

  Scenario: A watch that is cut is begun anew, and the store isn't taken for lost
    Given a configuration
    And workers "w1, w2"
    When the next watch of the store is cut
    And 10 look-ups are sent
    And worker "w1" announces that it drains
    Then the log has no "store.lost" line

  Scenario: After history is lost everything is read again
    Given a configuration
    And workers "w1, w2"
    When the store is "history-lost"
    And worker "w1" vanishes from the store
    And 10 look-ups are sent
    Then worker "w1" got none of them

  Scenario: Callers are told of entries near them, at least two where there are
    Given a configuration
    And the store names the entries
      | name    | address    | region | zone   |
      | entry-2 | 10.0.0.2:1 | home   | home-b |
      | entry-3 | 10.0.0.3:1 | away   | away-a |
    When a caller in "home" and "home-a" asks for entries
    Then it is told of this entry and "10.0.0.2:1"
    When a caller in "away" and "away-a" asks for entries
    Then it is told of all entries

  # Guards against an entry that begins with an old read and serves what only an older version allows.
  Scenario: An entry that starts beside old reads begins with the newest configuration
    Given a configuration
    And workers "w1"
    And the store's old reads are 1500 ms behind
    When 1700 ms pass at the site
    And the configuration changes 1 times, one each 1 ms
    And another entry starts
    Then the first configuration of the last entry is the newest one

  # Guards against entries that are busy with each version of a burst before they know the last one.
  Scenario: Of a burst of configurations an entry applies a few, and the last one soon
    Given a configuration
    And workers "w1"
    When the configuration changes 60 times, one each 10 ms
    Then the newest configuration is in force within 2500 ms
    And at most 5 of them were applied
