Feature: The load tool tells what it measures

  Scenario Outline: Arrivals keep the stated rate
    Given <pattern> arrivals at 500 requests a second with seed 3
    When 200 seconds pass
    Then the rate was within 5 % of what was stated

    Examples:
      | pattern |
      | poisson |
      | bursty  |

  Scenario: The same seed gives the same arrivals
    Given poisson arrivals at 500 requests a second with seed 3
    When 10 seconds pass
    Then drawing them again gives the same

  Scenario: Rounds in which the tool was late are left out for all arms
    Given arms whose rounds were late by
      | two-choices | 1 | 1  | 1 | 1 | 1 | 1 |
      | hot-cold    | 1 | 80 | 1 | 1 | 1 | 1 |
      | oracle      | 1 | 1  | 1 | 1 | 1 | 1 |
    When the figures are worked out
    Then the disturbed rounds are 1
    And each arm has 5 rounds
    And the targets of hot-cold are judged

  Scenario: A machine that was too busy gives no verdict
    Given arms whose rounds were late by
      | two-choices | 1 | 90 | 1 | 1 | 1 |
      | hot-cold    | 1 | 80 | 1 | 1 | 1 |
      | oracle      | 1 | 1  | 1 | 1 | 1 |
    When the figures are worked out
    Then the disturbed rounds are 1
    And the targets of hot-cold are not judged
