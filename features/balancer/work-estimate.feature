Feature: What an entry expects of a route is corrected by what its upstreams do

  # Guards against an estimate that each answer to requests that were sent together multiplies, so that all later requests are refused.
  Scenario: Slow answers to the first requests of a route keep no later one refused
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2, w3, w4"
    And every worker "slow"
    And 32 look-ups are sent at once
    When every worker "answers"
    And 5000 ms pass at the site
    Then 20 of 20 look-ups are served

  # Guards against an estimate that refuses every request of a route, so that no answer can correct it.
  Scenario: An estimate beyond every deadline is corrected by trials
    Given an estimate of 7000 ms of the work of a route
    When requests that may wait for 1000 ms come every 100 ms and take 60 ms
    Then they are sent again within 2 seconds
    And at most 3 were sent against the estimate

  # Guards against trials that hand requests to a service that is really as slow as estimated.
  Scenario: Trials are few while the estimate holds
    Given an estimate of 7000 ms of the work of a route
    When requests that may wait for 1000 ms come every 100 ms and none is answered
    Then at most 11 were sent against the estimate in 10 seconds
