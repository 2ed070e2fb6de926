Feature: What a caller is told was not run, was not run

  With answers cut and lost after bytes were sent, shed requests and workers that
  fail, hang, freeze and die.

  Scenario: It holds under faults
    When the promise "not-run" is tried with seed 1
    Then no violation is found

  Scenario: It is found broken with not-run-after-bytes
    When it is tried with "not-run-after-bytes" and seed 1
    Then violations of "not-run" are found
