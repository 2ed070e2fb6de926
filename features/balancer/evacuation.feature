Feature: The upstreams of an evacuated availability zone get no requests

  Background:
    Given a balancer on the platform
    And a configuration

  # Guards against an evacuation that only the entry that reads the store knows of, and one that never ends.
  Scenario: An evacuation is in force at entries that read the store and at those that follow, until it is taken back
    Given a store by whose revisions entries choose whom to follow
    And entries in the availability zones "home-a, home-a, home-a"
    And an entry follows another one
    And worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "home-b"
    When the zone "home-a" is evacuated
    And 10 look-ups are sent to each entry
    Then worker "w1" got none of them
    And all of them were answered
    And the entries count 1 evacuated zone
    When the zone "home-a" is taken back
    And 10 look-ups are sent to each entry
    Then worker "w1" got some of them
    And the entries count 0 evacuated zones

  # Guards against requests that wait for an upstream of an evacuated zone, or that are relayed in vain.
  Scenario: With every zone of a service evacuated, a request is refused at once
    Given entries in the availability zones "home-a, home-b"
    And worker "w1" in the availability zone "home-a"
    When the zone "home-a" is evacuated
    And a caller sends "POST /write/a" with the body "order"
    Then the answer is 503 within 300 ms
    And the answer says when to come back
    And it was refused as not run for "evacuated" with evacuatedZones "home-a"
    And the workers got 0 requests in all
    And the log has no "request.relayed" line

  # Guards against a search for upstreams that stops where the near ones are gone.
  Scenario: With the whole home region evacuated, upstreams of other regions are used
    Given worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "home-b"
    And worker "w3" in the availability zone "away-a"
    When the zone "home-a" is evacuated
    And the zone "home-b" is evacuated
    And 10 look-ups are sent to each entry
    Then all of them were answered
    And worker "w1" got none of them
    And worker "w2" got none of them

  # Guards against retries that go where first attempts don't.
  Scenario: A retry leaves the evacuated zone alone
    Given worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "home-b"
    And every worker "error"
    When the zone "home-a" is evacuated
    And a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 500
    And worker "w1" got none of them

  # Guards against an evacuation that cuts off work under way.
  Scenario: A request that is under way is not stopped
    Given worker "w1" in the availability zone "home-a"
    And every worker "slow"
    When a look-up is under way
    And the zone "home-a" is evacuated at once
    And that look-up ends
    Then the answer is 200

  # Guards against a misspelt name that takes upstreams out of service.
  Scenario: A record for a zone that the settings don't name has no effect
    Given worker "w1" in the availability zone "elsewhere"
    When the zone "elsewhere" is evacuated at once
    Then the log has a "zone.unknown" line
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200
    And the entries count 0 evacuated zones

  # Guards against an evacuation that stays in force because its end was among changes that nobody can tell any more.
  Scenario: A complete read without the record ends the evacuation
    Given entries in the availability zones "home-a, home-a"
    And worker "w1" in the availability zone "home-a"
    And the zone "home-a" is evacuated
    When the zone "home-a" is taken back while the history of the store is lost
    And 5 look-ups are sent to each entry
    Then all of them were answered

  # Guards against entries that keep an evacuation which the store has forgotten.
  Scenario: The store comes back from a copy without the record
    Given a store by whose revisions entries choose whom to follow
    And entries in the availability zones "home-a, home-a"
    And an entry follows another one
    And worker "w1" in the availability zone "home-a"
    And a copy of the store is taken
    And the zone "home-a" is evacuated
    When the store comes back from that copy, and the zone "home-a" is taken back by it
    And 5 look-ups are sent to each entry
    Then all of them were answered

  # Guards against entries that pass over an evacuation which the store names again.
  Scenario: The store comes back from a copy with the record
    Given entries in the availability zones "home-a, home-a"
    And worker "w1" in the availability zone "home-a"
    And the zone "home-a" is evacuated
    And a copy of the store is taken
    And the zone "home-a" is taken back
    When the store comes back from that copy, and the zone "home-a" is evacuated by it
    And 5 look-ups are sent to each entry
    Then none of them was answered
    And it was refused as not run for "evacuated"
