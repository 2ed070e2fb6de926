Feature: Entries hold the same rows whatever way these came

  Scenario: Order and repetition make no difference
    Then rows merged in any order and repeated give the same table, over 500 cases of seed 41

  Scenario: A full table refuses new rows and still takes newer ones
    Given a table for 10 departures
    When 1000 departures are merged
    Then it holds 10 rows and has refused 990 as "full"
    And a newer version of a row it holds is taken in

  Scenario: Rows from the far future are refused
    Given a table for 10 departures
    When a departure with a version 11 minutes ahead is merged
    Then it is refused as "far-future"
    When a departure that ends in 8 days is merged
    Then it is refused as "far-future"

  Scenario: Crashes that several entries saw are counted once
    Given 3 entries in region "north" that talk to each other
    When each entry reports that one request crashed "127.0.0.1:7001"
    And entry 1 reports that it crashed "127.0.0.1:7002" as well
    Then every entry knows within 5 seconds that it crashed 2 upstreams

  # Guards against a request that crashes upstreams again through each entry that starts.
  Scenario: An entry that joins learns of crashes that were seen before
    Given 3 entries in region "north" that talk to each other
    When each entry reports that one request crashed "127.0.0.1:7001"
    And entry 1 reports that it crashed "127.0.0.1:7002" as well
    Then every entry knows within 5 seconds that it crashed 2 upstreams
    When another entry joins
    Then the entry that joined knows within 5 seconds that it crashed 2 upstreams
