Feature: Requests are served only in the regions that their routes allow

  Background:
    Given a balancer on the platform
    And a configuration

  # Guards against first attempts that leave the allowed regions because an upstream elsewhere is less busy.
  Scenario: First attempts stay in the allowed region
    Given worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "away-a"
    And the routes allow the region "away"
    When 10 look-ups are sent to each entry
    Then all of them were answered
    And worker "w1" got none of them

  # Guards against a list of regions that takes effect at some entries only.
  Scenario: Entries of every region keep to the list
    Given entries in the availability zones "home-a, away-a"
    And worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "away-a"
    And the routes allow the region "home"
    When 10 look-ups are sent to each entry
    Then all of them were answered
    And worker "w2" got none of them

  # Guards against retries that leave the allowed regions.
  Scenario: A retry stays in the allowed region
    Given worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "away-a"
    And worker "w1" "error"
    And the routes allow the region "home"
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 500
    And worker "w2" got none of them

  # Guards against hedges that leave the allowed regions.
  Scenario: A hedge stays in the allowed region
    Given worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "away-a"
    And 20 look-ups are sent to each entry
    And worker "w1" "slow"
    And the routes allow the region "home"
    When 5 look-ups are sent to each entry
    Then all of them were answered
    And worker "w2" got none of them

  # Guards against requests that wait, or are relayed, though no upstream may serve them.
  Scenario: Without an upstream in an allowed region a request is refused at once
    Given entries in the availability zones "home-a, home-b"
    And worker "w2" in the availability zone "away-a"
    And the routes allow the region "home"
    When a caller sends "POST /write/a" with the body "order"
    Then the answer is 503 within 300 ms
    And the answer says when to come back
    And it was refused as not run for "no-allowed-upstream" with allowedRegions "home"
    And the workers got 0 requests in all
    And the log has no "request.relayed" line

  # Guards against callers that are told of regions where the allowed upstreams only rest.
  Scenario: A request whose allowed upstreams rest is refused because of that
    Given worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "away-a"
    And worker "w1" asks for a rest of "2"
    And the routes allow the region "home"
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    And a caller sends "GET /read/a" with id "r-2" and 3000 ms
    Then the answer is 503 within 300 ms
    And it was refused as not run for "resting" with allowedRegions "home"
    And worker "w2" got none of them

  # Guards against a search for upstreams that stops at a home region which takes nothing.
  Scenario: Where all upstreams of the home region rest, those of other regions are used
    Given worker "w1" in the availability zone "home-a"
    And worker "w2" in the availability zone "home-b"
    And worker "w3" in the availability zone "away-a"
    And worker "w1" asks for a rest of "3"
    And worker "w2" asks for a rest of "3"
    # By these the entry learns of the rests.
    And 2 look-ups are sent to each entry
    When 10 look-ups are sent to each entry
    Then all of them were answered
    And worker "w3" got some of them

  # Guards against a misspelt region that refuses all requests without a word.
  Scenario: A region that the settings don't name is logged
    Given worker "w1" in the availability zone "home-a"
    And the routes allow the regions "home, hoem"
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200
    And the log tells that the region "hoem" of 2 routes is unknown

  # Guards against lists that lead callers to entries of regions that the routes don't allow.
  Scenario Outline: The list of entries for a caller in <zone>, with <regions> allowed
    Given entries in the availability zones "home-a, home-b, away-a"
    And the routes allow the regions "<regions>"
    When a caller of "<host>" in "<zone>" asks entry 1 for entries
    Then it is told of the entries <entries>

    Examples:
      | zone   | regions    | host          | entries |
      | away-a |            | shop.example  | 3, 1, 2 |
      | away-a | away       | shop.example  | 3       |
      | away-a | home       | shop.example  | 3, 1, 2 |
      | away-a | away       | other.example | 3, 1, 2 |
      | home-b | away       | shop.example  | 2, 1    |
      | far-a  | home       | shop.example  | 1, 2    |
