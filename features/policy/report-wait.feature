Feature: A request waits for load reports as long as links take, and not longer

  # Guards against a wait that is shorter than the round trip: with 5.4 ms one way
  # between zones, each selection was made by reports of the request before.
  Scenario: Zones that are far apart
    Given answers of upstreams that take 10.9 ms
    Then the wait for load reports is between 12 and 25 ms

  # Guards against a longer wait for everybody, where links are short.
  Scenario: Zones that are near
    Given answers of upstreams that take 2.9 ms
    Then the wait for load reports is between 8 and 8 ms

  # Guards against a busy entry on short links that takes its own delays for the links, and waits longer than it did.
  Scenario: Zones that are near, and an entry that is busy
    Given answers of upstreams that take 2.9 ms, two thirds of them 15 ms longer
    Then the wait for load reports is between 8 and 8 ms

  # Guards against the first requests after a start, which were all sent without a
  # report: an upstream that was full looked as free as the others.
  Scenario: Connections that have to be opened first
    Given answers of upstreams that take 10.9 ms
    But no upstream has reported its load yet
    Then the wait for load reports is between 22 and 30 ms

  # Guards against one late answer, or links that hang, that delay each request.
  Scenario: Answers that come much too late
    Given answers of upstreams that take 900 ms
    Then the wait for load reports is between 8 and 30 ms
