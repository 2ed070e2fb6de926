Feature: A leaving upstream gets no new work

  By whichever way its departure was learned, also while the store is down.

  Scenario: It holds under faults
    When the promise "leaving-upstream" is tried with seed 1
    Then no violation is found
