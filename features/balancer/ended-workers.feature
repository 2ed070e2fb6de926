Feature: A request is suspected of ending its worker however far its answer had come, and whoever still waits for it

  Background:
    Given 4 balancers on the platform
    And a configuration
    And workers "w1, w2, w3, w4, w5, w6, w7, w8, w9, w10"
    And workers that are back as other ones after they ended

  # Guards against a request that is sent on and on because its workers end at another time than before its answer.
  Scenario Outline: <line> that ends its workers <ending> is refused after three
    Given requests that end their workers "<ending>"
    And "<line>" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    And it is sent 12 times more
    Then it reached workers at most 3 times more
    And it is refused as not run, with when to come back

    Examples:
      | line              | ending                               |
      | GET /read/crash   | after a part of its answer           |
      | POST /write/crash | after a part of its answer           |
      | GET /read/crash   | within a chunked answer              |
      | POST /write/crash | within a chunked answer              |
      | GET /read/crash   | after an answer that is broken off   |
      | POST /write/crash | after an answer that is broken off   |
      | GET /read/crash   | after its caller left                |
      | POST /write/crash | after its caller left                |
      | GET /read/crash   | after its deadline                   |
      | POST /write/crash | after its deadline                   |
      | GET /read/crash   | in silence                           |
      | POST /write/crash | in silence                           |

  # Guards against a worker that is taken for the one before it, since it has its id.
  Scenario Outline: <line> that ends its workers <ending>, which are back under their ids, is refused after three
    Given workers that are back under their ids after they ended
    And requests that end their workers "<ending>"
    And "<line>" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    And it is sent 12 times more
    Then it reached workers at most 3 times more

    Examples:
      | line              | ending                     |
      | GET /read/crash   | after a part of its answer |
      | POST /write/crash | after its caller left      |

  # Guards against innocent requests that are blamed for one which nobody waits for any more.
  Scenario Outline: Look-ups beside a request that ends its workers <ending> are served when they are sent again
    Given every worker "slow"
    And requests that end their workers "<ending>"
    And "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers, each beside 6 look-ups
    When 3000 ms pass at the site
    Then each of these look-ups is served by every entry

    Examples:
      | ending                     |
      | after a part of its answer |
      | after its caller left      |
      | after its deadline         |

  # Guards against a worker that stood still for a while and is taken for one that ended.
  Scenario: A request whose workers stood still one after the other is served once they go on
    Given requests that end their workers "in a pause"
    And "GET /read/crash" is sent to the entries in turn until it has crashed 3 workers
    When 6000 ms pass at the site
    And workers no longer crash at it
    Then every entry serves "GET /read/crash"

  # Guards against a worker that cuts its answers and lives on, and is taken for one that ended.
  Scenario: A request whose answers are cut by workers that live on is not refused
    Given every worker "truncates"
    And "GET /read/a" is sent 12 times
    When every worker "answers"
    Then every entry serves "GET /read/a"

  # Guards against a request that is blamed because its caller left a worker that lives on.
  Scenario: A request whose callers leave is not refused
    Given every worker "slow"
    And its callers leave after 60 ms
    And "POST /write/a" is sent 12 times
    When 3000 ms pass at the site
    Then every entry serves "POST /write/a"
    And the log has no "request.suspected" line

  # Guards against a planned departure that is taken for a crash.
  Scenario: A request that was under way at workers that left as planned is not refused
    Given every worker "hangs"
    And "POST /write/a" is under way at 3 workers when they leave and end, one after the other
    When every worker "answers"
    Then every entry serves "POST /write/a"
    And the log has no "request.suspected" line
