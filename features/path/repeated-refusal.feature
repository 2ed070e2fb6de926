Feature: An upstream's refusal belongs to one request only

  # Guards against an order that runs while its caller is told that it has not run.
  Scenario: A refusal that an upstream writes once more is not taken for the next request
    Given an upstream that refuses the first request, and writes that refusal once more 60 ms later
    When an entry sends it a look-up and then an order
    Then the look-up was refused
    And the order was answered after it ran
