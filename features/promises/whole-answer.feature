Feature: Every caller receives the whole answer to its own request

  With answers that are late, cut and out of order, and callers that give up.

  Scenario: It holds under faults
    When the promise "whole-answer" is tried with seed 1
    Then no violation is found

  Scenario: It is found broken with cut-taken-for-whole
    When it is tried with "cut-taken-for-whole" and seed 1
    Then violations of "whole-answer" are found
