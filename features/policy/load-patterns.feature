Feature: Choices under the load of the heaviest days

  Scenario: A neighbour slows one upstream for a while, and work moves away at once
    Given an upstream in "same-zone" that reports 1 of 4 slots busy at 7 times the usual pace
    And an upstream in "same-region" that reports 3 of 4 slots busy at 1 times the usual pace
    Then a request of 60 ms work and 200 ms target goes to upstream 2

  Scenario: A burst fills the zone, and small requests go to another region before they are late
    Given an upstream in "same-zone" that reports 9 of 4 slots busy at 1 times the usual pace
    And an upstream in "other-region" that reports 0 of 4 slots busy at 1 times the usual pace
    Then a request of 60 ms work and 200 ms target goes to upstream 2

  Scenario: In the calm, bytes stay in the zone
    Given an upstream in "same-zone" that reports 2 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-region" that reports 0 of 4 slots busy at 1 times the usual pace
    And an upstream in "other-region" that reports 0 of 4 slots busy at 1 times the usual pace
    Then a request of 60 ms work and 200 ms target goes to upstream 1

  Scenario: A large upload stays off links that are paid for, though it is a little later
    Given an upstream in "same-zone" that reports 4 of 4 slots busy at 1 times the usual pace
    And an upstream in "other-region" that reports 0 of 4 slots busy at 1 times the usual pace
    Then a request of 60000 bytes, 72 ms work and 400 ms target goes to upstream 1

  Scenario: An upstream that fails behind a good report gets little work, and is tried again later
    Given an upstream in "same-zone" that reports 0 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-region" that reports 2 of 4 slots busy at 1 times the usual pace
    When 2 requests fail at upstream 1
    Then a request of 60 ms work and 200 ms target goes to upstream 2
    When 20000 ms pass
    And upstream 1 reports 0 of 4 slots busy at 1 times the usual pace
    And upstream 2 reports 2 of 4 slots busy at 1 times the usual pace
    Then a request of 60 ms work and 200 ms target goes to upstream 1

  Scenario: An upstream that has just started gets work only while others are slower still
    Given an upstream in "same-zone" that reports 0 of 4 slots busy at 1 times the usual pace
    And upstream 1 is cold for 3000 ms
    And an upstream in "same-zone" that reports 0 of 4 slots busy at 1 times the usual pace
    Then a request of 60 ms work and 200 ms target goes to upstream 2

  Scenario: What was sent since the last report counts
    Given an upstream in "same-zone" that reports 2 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-zone" that reports 3 of 4 slots busy at 1 times the usual pace
    When 3 requests are sent to upstream 1
    Then a request of 60 ms work and 200 ms target goes to upstream 2

  # Guards against an upstream that counts as full because of requests that it has answered since its last report.
  Scenario: What was sent since the last report and has been answered no longer counts
    Given an upstream in "same-zone" that reports 2 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-zone" that reports 3 of 4 slots busy at 1 times the usual pace
    When 3 requests are sent to upstream 1
    And 3 requests are answered by upstream 1
    Then a request of 60 ms work and 200 ms target goes to upstream 1
    And upstream 1 has 2 free slots

  Scenario: All upstreams of a service shed half of their requests, and work stays in the region
    Given an upstream in "same-zone" that reports 1 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-region" that reports 1 of 4 slots busy at 1 times the usual pace
    And an upstream in "other-region" that reports 1 of 4 slots busy at 1 times the usual pace
    And an upstream in "other-region" that reports 1 of 4 slots busy at 1 times the usual pace
    When 20 requests in turn at upstreams 1 and 2 are shed every other time
    Then other regions are asked for a request of 60 ms work and 400 ms target
    When 20 requests in turn at upstreams 3 and 4 are shed every other time
    Then other regions are not asked for a request of 60 ms work and 400 ms target

  Scenario: Only the upstreams of this region shed, and work leaves it
    Given an upstream in "same-zone" that reports 1 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-region" that reports 1 of 4 slots busy at 1 times the usual pace
    And an upstream in "other-region" that reports 1 of 4 slots busy at 1 times the usual pace
    When 20 requests in turn at upstreams 1 and 2 are shed every other time
    Then other regions are asked for a request of 60 ms work and 400 ms target
    And a request of 60 ms work and 400 ms target goes to upstream 3

  Scenario: An upstream that wasn't tried looks no better than those like it while all of them shed
    Given an upstream in "same-zone" that reports 1 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-zone" that reports 1 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-region" that reports 1 of 4 slots busy at 1 times the usual pace
    When 20 requests in turn at upstreams 1 and 2 are shed every other time
    And 15000 ms pass
    And upstream 1 reports 1 of 4 slots busy at 1 times the usual pace
    And upstream 3 reports 1 of 4 slots busy at 1 times the usual pace
    Then a request of 60 ms work and 400 ms target goes to upstream 1

  Scenario: An upstream that has gone dark behind a good report gets nothing, and is tried again later
    Given an upstream in "same-zone" that reports 0 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-region" that reports 3 of 4 slots busy at 1 times the usual pace
    When upstream 1 leaves a load query unanswered
    Then a request of 60 ms work and 400 ms target goes to upstream 2
    When upstream 1 reports 0 of 4 slots busy at 1 times the usual pace
    And 15000 ms pass
    And upstream 1 reports 0 of 4 slots busy at 1 times the usual pace
    And upstream 2 reports 3 of 4 slots busy at 1 times the usual pace
    Then a request of 60 ms work and 400 ms target goes to upstream 1

  Scenario: In the calm, second attempts may spend the whole budget for repeats
    Given an upstream in "same-zone" that reports 1 of 4 slots busy at 1 times the usual pace
    Then second attempts may spend all of the budget

  Scenario: While a service sheds, the budget goes to requests that have no answer, not to second attempts
    Given an upstream in "same-zone" that reports 1 of 4 slots busy at 1 times the usual pace
    And an upstream in "same-region" that reports 1 of 4 slots busy at 1 times the usual pace
    When 1 request in turn at upstreams 1 and 2 are shed every other time
    Then second attempts may spend some of the budget
    When 40 requests in turn at upstreams 1 and 2 are shed every other time
    Then second attempts may spend none of the budget

  Scenario: All entries together keep to the budget for repeats in any window
    Given 14 entries that share repeats of 0.2 per request and 56 beside them in 10000 ms
    When each entry gets 20 requests a second and repeats all it may, for 60 s
    Then no window holds more repeats than 0.2 of its requests and 56

  Scenario: A lull after a burst leaves no budget for the repeats of the burst
    Given 14 entries that share repeats of 0.2 per request and 56 beside them in 10000 ms
    When each entry gets 40 requests a second and repeats all it may, for 10 s
    And each entry gets 1 requests a second and repeats all it may, for 30 s
    Then no window holds more repeats than 0.2 of its requests and 56

  Scenario: Weighted services get their shares in any short span
    Given targets of weight 90 and 10
    When 20 requests are dealt
    Then the second target got 2 of them

  Scenario: Callers that were shed though there was room come back soon, and not together
    When 200 requests are refused with 0 waiting and 15 ms for each
    Then they return between 20 and 30 ms later, in at least 10 different milliseconds

  Scenario: Callers that are refused together don't return together
    When 200 requests are refused with 8 waiting and 15 ms for each
    Then they return between 120 and 180 ms later, in at least 50 different milliseconds
