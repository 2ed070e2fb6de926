Feature: Orders run at most once per key

  Through resends to any entry, duplicates, cancelled and cut attempts, frozen,
  killed and stopped entries, and outages of the store.

  Scenario: It holds under faults
    When the promise "at-most-once" is tried with seed 1
    Then no violation is found

  Scenario: It is found broken with ledger-without-homes
    When it is tried with "ledger-without-homes" and seed 1
    Then violations of "at-most-once" are found

  Scenario: It is found broken with retry-after-bytes
    When it is tried with "retry-after-bytes" and seed 1
    Then violations of "at-most-once" are found
