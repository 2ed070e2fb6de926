Feature: Work stays near and spills by a share

  Scenario: In the calm everything stays in the zone
    Given upstreams at each distance
    When the zone is 50 % used for 5 seconds
    Then no requests leave the zone

  Scenario: A zone without upstreams is served by the region
    Given upstreams in the region and beyond
    When the zone is 50 % used for 5 seconds
    Then all requests stay in the region

  Scenario: Load between the marks moves nothing
    Given upstreams at each distance
    When the zone is 100 % used for 3 seconds
    And the zone is 85 % used for 10 seconds
    Then the share that leaves the zone has not changed in the last 5 seconds

  Scenario: Load that swings does not make the share swing
    Given upstreams at each distance
    When the zone alternates each 100 ms between 100 % and 50 % for 10 seconds
    Then the share that leaves the zone turned at most 2 times

  Scenario: A share that is no longer needed comes back slowly
    Given upstreams at each distance
    When the zone is 100 % used for 3 seconds
    Then over 30 % of requests leave the zone
    When the zone is 20 % used for 20 seconds
    Then no requests leave the zone

  Scenario: Nothing spills onto what is full itself
    Given upstreams at each distance, those outside the zone full
    When the zone is 100 % used for 5 seconds
    Then no requests leave the zone
