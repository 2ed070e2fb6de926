Feature: Every caller gets the whole answer to its own request, or the truth

  Background:
    Given a balancer on the platform
    And a configuration

  Scenario: A request goes to a worker with what it needs to know
    Given workers "w1"
    When a caller sends "GET /read/a?x=1" with id "r-1" and 3000 ms
    Then the answer is 200 with body "w1 ran /read/a?x=1"
    And the answer has the header "wasabidyke-server-seal" "seal-of-w1"
    And worker "w1" got "GET /read/a?x=1" with id "r-1" for itself, with at most 1000 ms

  Scenario: A body reaches the worker unchanged
    Given workers "w1"
    When a caller sends "POST /write/a" with the body "a wheel of cheese"
    Then the answer is 200 with body "w1 ran /write/a"
    And worker "w1" got the body "a wheel of cheese"

  Scenario: What has no route is not found
    Given workers "w1"
    When a caller sends "GET /other/a" with id "r-1" and 3000 ms
    Then the answer is 404

  Scenario: Without a worker a request is refused at once, with when to come back
    When a caller sends "POST /write/a" with the body "order"
    Then the answer is 503 within 300 ms
    And the answer says when to come back

  Scenario Outline: An order that a worker <script> is not run again, and is not called not run
    Given workers "w1, w2"
    And every worker "<script>"
    When a caller sends "POST /write/a" with the body "order"
    Then the answer is <status>
    And the workers got 1 request in all

    Examples:
      | script         | status |
      | resets         | 502    |
      | truncates      | 502    |
      | unframed-reset | 502    |
      | foreign        | 502    |
      | unsigned       | 502    |
      | hangs          | 504    |
      | error          | 500    |

  Scenario Outline: A look-up that one worker <script> is answered by another
    Given workers "w1, w2"
    And worker "w1" "<script>" and is the least busy
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200 with body "w2 ran /read/a"

    Examples:
      | script         |
      | resets         |
      | truncates      |
      | unframed-reset |
      | foreign        |
      | unsigned       |
      | error          |
      | sheds          |
      | other-worker   |

  Scenario Outline: An order that one worker <script> runs at another
    Given workers "w1, w2"
    And worker "w1" "<script>" and is the least busy
    When a caller sends "POST /write/a" with the body "order"
    Then the answer is 200 with body "w2 ran /write/a"

    Examples:
      | script       |
      | sheds        |
      | other-worker |

  Scenario: An order that every worker refuses is refused as not run
    Given workers "w1, w2"
    And every worker "sheds"
    When a caller sends "POST /write/a" with the body "order"
    Then the answer is 503 within 500 ms
    And the answer says when to come back

  Scenario: An answer without a length is whole when its connection ends in order
    Given workers "w1"
    And every worker "unframed"
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    Then the answer is 200 with body "w1 ran /read/a"

  Scenario: A second answer to one request meets no other request
    Given workers "w1"
    And every worker "extra"
    When a caller sends "GET /read/a" with id "r-1" and 3000 ms
    And 60 ms pass at the site
    And a caller sends "GET /read/b" with id "r-2" and 3000 ms
    Then the answer is 200 with body "w1 ran /read/b"

  Scenario: A long request that is answered early leaves no bytes for the next one
    Given workers "w1"
    And every worker "early"
    When a caller sends "POST /write/a" with a body of 90000 bytes
    Then the answer is 413
    When every worker "answers"
    And a caller sends "POST /write/b" with the body "order"
    Then the answer is 200 with body "w1 ran /write/b"

  Scenario: A route's timeout ends the wait, and the worker's work
    Given workers "w1"
    And every worker "hangs"
    When a caller sends "POST /write/a" with the body "order"
    Then the answer is 504 within 1300 ms
    And worker "w1" sees its caller leave

  Scenario: A caller that leaves ends the work
    Given workers "w1"
    And every worker "hangs"
    When a caller sends "GET /read/a" and leaves after 100 ms
    Then worker "w1" sees its caller leave

  Scenario: Requests that are sent one behind the other are answered in order
    Given workers "w1"
    And every worker "slow"
    When a caller sends "/read/a, /read/b, /read/c" one behind the other
    Then their answers come in order

  Scenario: A body that is too large is refused
    Given workers "w1"
    When a caller sends "POST /write/a" with a body of 200000 bytes
    Then the answer is 413

  Scenario: A planned stop cuts off no request, and sends callers elsewhere
    Given workers "w1"
    And every worker "slow"
    When a caller sends "GET /read/a" and the balancer is told to stop meanwhile
    Then the answer is 200 with body "w1 ran /read/a"
    And the balancer was not ready while it stopped
    And the store no longer names it

  # Guards against an order that runs while its caller is told that it has not run, or that runs twice.
  Scenario Outline: A refusal that a worker writes once more is taken for no other request: <script>
    Given workers "w1"
    And every worker "<script>"
    When a caller sends "GET /read/first" with id "r-1" and 3000 ms
    And a caller sends "POST /write/second" with the body "order"
    Then the answer says that the order ran, or may have
    And the workers got 1 request with "/write/second"

    Examples:
      | script                     |
      | repeats-refusal            |
      | repeats-refusal-without-id |
      | repeats-load-refusal       |

  # Guards against a success with an empty or short body that looks whole.
  Scenario Outline: An answer whose head is cut is no success: <script>
    Given workers "w1"
    And every worker "<script>"
    When a caller sends "POST /write/a" with the body "order"
    Then the answer is 502
    When a caller sends "GET /read/a" with id "r-2" and 3000 ms
    Then the answer is 502

    Examples:
      | script                       |
      | cut-status                   |
      | cut-header                   |
      | cut-head                     |
      | cut-head-reset               |
      | cut-head-after-informational |
