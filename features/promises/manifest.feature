Feature: An accepted manifest is in force everywhere and never reverts

  With racing operators, lost answers, an outage of the store, frozen and new
  entries, and stale reads.

  Scenario: It holds under faults
    When the promise "manifest" is tried with seed 1
    Then no violation is found

  Scenario: It is found broken with revision-guard-off
    When it is tried with "revision-guard-off" and seed 1
    Then violations of "manifest" are found
