Feature: A planned stop cuts off and refuses nobody

  Of an entry and of an upstream, with uploads and long queries under way and
  callers that still hold an old list.

  Scenario: It holds under faults
    When the promise "planned-stop" is tried with seed 1
    Then no violation is found

  Scenario: It is found broken with stop-without-draining
    When it is tried with "stop-without-draining" and seed 1
    Then violations of "planned-stop" are found
