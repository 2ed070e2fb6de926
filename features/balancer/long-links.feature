Feature: Load reports decide also where links are long

  # Guards against a selection by the reports of earlier requests: answers took
  # 14 ms, of which 8 were awaited, and the request went to the full upstream.
  Scenario: An upstream that has become full since the last request gets none
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And worker "w1" "slow"
    And worker "w2" "slow"
    And worker "w1" answers load queries after 14 ms
    And worker "w2" answers load queries after 14 ms
    And 8 look-ups are sent, one each 60 ms
    When 12 look-ups are sent while "w1" and "w2" take turns in being full
    Then at least 11 of them reached the free one
