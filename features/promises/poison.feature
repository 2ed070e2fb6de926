Feature: A request that crashes upstreams takes down at most two

  However often its caller sends it again, and to whichever entry; no other
  request is taken for it.

  Scenario: It holds under faults
    When the promise "poison" is tried with seed 1
    Then no violation is found

  Scenario: It is found broken with poison-guard-off
    When it is tried with "poison-guard-off" and seed 1
    Then violations of "poison" are found
