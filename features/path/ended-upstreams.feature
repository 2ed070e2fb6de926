Feature: A request that ends its upstreams takes down at most two, however far their answers had come and whoever still waits

  The entry is one with a manifest of its own.

  # Guards against a request that is sent on and on because its upstreams end within the answer, or after their callers gave up.
  Scenario Outline: A look-up that ends its upstreams <ending> takes down at most two
    Given an entry with a manifest of its own and 4 upstreams
    And upstreams that end "<ending>"
    When a look-up that ends them is sent 10 times
    Then at most 2 upstreams have ended
    And another look-up is answered

    Examples:
      | ending                     |
      | before its answer          |
      | after a part of its answer |
      | within a chunked answer    |
      | after its caller left      |
      | after its deadline         |

  # Guards against ends of one upstream that count only once, since its address stays the same.
  Scenario Outline: A look-up that ends the only upstream <ending> takes it down at most twice
    Given an entry with a manifest of its own and 1 upstream
    And upstreams that end "<ending>"
    When a look-up that ends them is sent 10 times, 1100 ms apart
    Then at most 2 upstreams have ended

    Examples:
      | ending                |
      | before its answer     |
      | after its caller left |

  # Guards against a look-up that is refused for ten minutes because upstreams that live on cut its answers.
  Scenario: A look-up whose answers are cut by upstreams that live on is not refused
    Given an entry with a manifest of its own and 4 upstreams
    And every upstream "truncates"
    When a look-up is sent 10 times
    And every upstream "answers"
    Then that look-up is soon answered

  # Guards against a look-up that is blamed because its callers leave upstreams that live on.
  Scenario: A look-up whose callers leave is not refused
    Given an entry with a manifest of its own and 4 upstreams
    And every upstream "slow"
    And callers that leave after 60 ms
    When a look-up is sent 10 times
    And every upstream "answers"
    Then that look-up is soon answered
