Feature: Watching load stays in its budget

  Counted at the upstreams, with entries joining and frozen and the budget changed.

  Scenario: It holds under faults
    When the promise "load-watch" is tried with seed 1
    Then no violation is found

  Scenario: It is found broken with budget-not-split
    When it is tried with "budget-not-split" and seed 1
    Then violations of "load-watch" are found
