Feature: A leaving upstream gets no new work

  By whichever way its departure was learned, also while the store is down.

  Scenario: It holds under faults
    When the promise "leaving-upstream" is tried with seed 1
    Then no violation is found

  Scenario: It is found broken with departures-not-spread
    When it is tried with "departures-not-spread" and seed 1
    Then violations of "leaving-upstream" are found
