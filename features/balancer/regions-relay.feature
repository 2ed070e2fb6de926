Feature: Relayed requests stay in the regions that their routes allow

  Background:
    Given 1 balancers on the platform with links of their own
    And a configuration
    And worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "home-b"
    And worker "w3" in the availability zone "away-a"

  # Guards against a test that passes because nothing is relayed at all.
  Scenario: Without a list an entry of another region is asked
    Given another entry in "away-a"
    And every entry knows the others
    When the links of entry 1 to all workers are "reset"
    And 10 look-ups are sent together to entry 1
    And 10 look-ups are sent together to entry 1
    Then entry 2 served relayed requests

  # Guards against relays that lead through a region that isn't allowed.
  Scenario: An entry of a region that isn't allowed is not asked
    Given another entry in "away-a"
    And every entry knows the others
    And the routes allow the region "home"
    When the links of entry 1 to all workers are "reset"
    And 10 look-ups are sent together to entry 1
    And 10 look-ups are sent together to entry 1
    Then none of them was answered
    And entry 2 served no relayed request

  # Guards against relays that find an upstream in a region that isn't allowed.
  Scenario: An entry of an allowed region uses upstreams of allowed regions only
    Given another entry in "home-b"
    And every entry knows the others
    And the routes allow the region "home"
    When the links of entry 1 to all workers are "reset"
    And 10 look-ups are sent together to entry 1
    And 10 look-ups are sent together to entry 1
    Then entry 2 served relayed requests
    And worker "w3" got none of them

  # Guards against requests that are relayed because an evacuation leaves an entry no upstream.
  Scenario: An entry that lost its links relays nothing while all zones are evacuated
    Given another entry in "home-b"
    And every entry knows the others
    And the links of entry 1 to all workers are "reset"
    And 10 look-ups are sent together to entry 1
    When the zone "home-a" is evacuated
    And the zone "home-b" is evacuated
    And the zone "away-a" is evacuated
    And a caller sends "POST /write/a" with the body "order"
    Then the answer is 503 within 300 ms
    And it was refused as not run for "evacuated"
    And no worker got the path "/write/a"

  # Guards against entries that trust the choice of another one whose settings or configuration differ.
  Scenario Outline: A message to relay with <regions> allowed, sent to an entry in <zone>
    Given another entry in "<zone>"
    And every entry knows the others
    When a message to relay "/read/a" with the allowed regions "<regions>" is sent to entry 2
    Then it is answered 200 as not run for "no-allowed-upstream"
    And no worker got the path "/read/a"

    Examples:
      | zone   | regions |
      | away-a | home    |
      | home-b | away    |
      | home-b | far     |

  # Guards against an entry that uses any of its upstreams for a relayed request.
  Scenario: An entry checks its upstreams for a relayed request as well
    Given another entry in "home-b"
    And every entry knows the others
    When the zone "home-a" is evacuated
    And the zone "home-b" is evacuated
    And a message to relay "/read/a" with the allowed regions "home" is sent to entry 2
    Then it is answered 200 as not run for "evacuated"
    And no worker got the path "/read/a"
