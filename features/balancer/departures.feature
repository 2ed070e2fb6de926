Feature: A departure outlasts the record that told of it

  Background:
    Given a roster of upstreams

  # Guards against an upstream that said it leaves and is used again, since a late write brings an older announcement back.
  Scenario: An older announcement after a departure joins nothing
    When "w1" of start 100 announces "ready" as number 5
    And "w1" of start 100 announces "draining" as number 6
    And the record of "w1" is deleted
    And "w1" of start 100 announces "ready" as number 4
    Then "w1" is not in use
    When "w1" of start 100 announces "ready" as number 9
    Then "w1" is not in use

  # Guards against the same after a departure that was told by the deletion alone.
  Scenario Outline: After a deletion, announcement <number> of the same start joins <what>
    When "w1" of start 100 announces "ready" as number 5
    And the record of "w1" is deleted
    And "w1" of start 100 announces "ready" as number <number>
    Then "w1" is <state>

    Examples:
      | number | what    | state      |
      | 4      | nothing | not in use |
      | 5      | nothing | not in use |
      | 6      | again   | in use     |

  # Guards against a departure of a former start that keeps the next one from joining.
  Scenario: A new start joins after a departure, and an older start does not
    When "w1" of start 100 announces "draining" as number 6
    And the record of "w1" is deleted
    And "w1" of start 99 announces "ready" as number 8
    Then "w1" is not in use
    When "w1" of start 200 announces "ready" as number 1
    Then "w1" is in use

  # Guards against an announcement of leaving that counts as older than one with a sequence too large.
  Scenario: The word that a start leaves holds, whichever announcement is later
    When "w1" of start 100 announces "ready" as number 4294967295
    And "w1" of start 100 announces "draining" as number 6
    Then "w1" is not in use

  # Guards against a start without a start time that is taken for an older one, so that it never joins.
  Scenario: A start without a start time replaces one at another address
    When "w1" of start 100 at "10.0.0.1:80" announces "ready" as number 50
    And "w1" of no start at "10.0.0.2:80" announces "ready" as number 1
    Then "w1" is in use at "10.0.0.2:80"
    When "w1" of no start at "10.0.0.3:80" announces "ready" as number 1
    Then "w1" is in use at "10.0.0.3:80"

  # Guards against a former start that comes back with a late write at its former address.
  Scenario: A late announcement of a replaced start joins nothing
    When "w1" of no start at "10.0.0.1:80" announces "ready" as number 50
    And "w1" of no start at "10.0.0.2:80" announces "ready" as number 1
    And "w1" of no start at "10.0.0.1:80" announces "ready" as number 49
    Then "w1" is in use at "10.0.0.2:80"

  # Guards against a worker that starts anew under its id without a start time, and is never used again.
  Scenario: A departure without a start time is forgotten once no late write is due
    When "w1" of no start at "10.0.0.1:80" announces "draining" as number 50
    And the record of "w1" is deleted
    And the roster is told that 5 s have passed
    And "w1" of no start at "10.0.0.1:80" announces "ready" as number 1
    Then "w1" is not in use
    When the roster is told that 60 s have passed
    And "w1" of no start at "10.0.0.1:80" announces "ready" as number 1
    Then "w1" is in use

  # Guards against an odd record that another writer left and that keeps a sound worker out for good.
  Scenario: A worker whose record could not be read is used again once it can
    When "w1" of start 100 announces "ready" as number 5
    And the record of "w1" can't be read
    Then "w1" is not in use
    When "w1" of start 100 announces "ready" as number 5
    Then "w1" is in use

  # Guards against a lapse of the store's leases that counts as a departure.
  Scenario: A record that vanished with the store's leases and is written again stays in use
    When "w1" of start 100 announces "ready" as number 5
    And the record of "w1" lapses while the store is away
    And "w1" of start 100 announces "ready" as number 5
    Then "w1" is in use
    When the record of "w1" lapses while the store is away
    And the roster is told that 3 s have passed
    Then "w1" is not in use
    When "w1" of start 100 announces "ready" as number 6
    Then "w1" is in use

  # Guards against departures that fill the memory of an entry.
  Scenario: As many departures are remembered as upstreams leave in a day of releases
    When 10000 upstreams announce themselves and leave
    Then at most 4096 departures are remembered

  # Guards against departures that an older copy of the store takes back, and living upstreams that it drives out.
  Scenario: A store that comes back older brings back no one who left, and takes away no one who writes on
    When "w1" of start 100 announces "ready" as number 5
    And "w1" of start 100 announces "draining" as number 6
    And the record of "w1" is deleted
    And "w2" of start 100 announces "ready" as number 8
    And "w1" of start 100 announces "ready" as number 5
    And "w2" of start 100 announces "ready" as number 7
    Then "w1" is not in use
    And "w2" is in use
    When the record of "w2" lapses while the store is away
    And "w2" of start 100 announces "ready" as number 9
    And the roster is told that 3 s have passed
    Then "w2" is in use
