Feature: An upstream that asks for rest gets it in full

  # Guards against a rest that a later and shorter one ends: requests are answered out of order.
  Scenario: A shorter rest doesn't end a longer one
    Given an upstream that asks for 3000 ms of rest at 0 ms
    When it asks for 100 ms of rest at 50 ms
    Then it rests at 2999 ms
    And it doesn't rest at 3301 ms

  # Guards against a longer rest that is dropped because one is kept already.
  Scenario: A longer rest extends a shorter one
    Given an upstream that asks for 1000 ms of rest at 0 ms
    When it asks for 3000 ms of rest at 500 ms
    Then it rests at 3499 ms
    And it doesn't rest at 3801 ms

  # Guards against an upstream that is never used again because of one wrong value.
  Scenario: A huge rest ends after an hour
    Given an upstream that asks for 1e300 ms of rest at 0 ms
    Then it rests at 3599999 ms
    And it doesn't rest at 3960001 ms

  # Guards against entries that were told together and come back together.
  Scenario: Rests that begin together end at different times
    When 50 entries are asked for 3000 ms of rest at 0 ms
    Then their rests end over more than 150 ms

  Scenario Outline: A rest of <value> ms is none
    Given an upstream that asks for <value> ms of rest at 0 ms
    Then it doesn't rest at 0 ms

    Examples:
      | value |
      | 0     |
      | -5    |
      | NaN   |
