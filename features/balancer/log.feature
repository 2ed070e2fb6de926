Feature: The log explains a failure and never holds up the process

  Scenario: Lines of one event are limited, and what is left out is told
    Given a log
    When 500 lines of "request.refused" are recorded at once
    Then at most 80 lines of "request.refused" are written
    When 5000 ms pass for the log
    And 1 lines of "request.refused" are recorded at once
    Then the last line tells of at least 420 lines that were left out
    And the counter of "request.refused" stands at 501

  Scenario: A reader that stops costs lines, not time
    Given a process that logs 40000 lines to a reader that doesn't read
    Then it ends within 20 s and has dropped lines

  Scenario: The story of one request is told over all processes
    Given log files of two entries that a request went through
    When the story of request "r-7" is asked for
    Then its lines come in order of time, with the beliefs that were in force

  Scenario: A request that a worker holds past its time is told with the worker
    Given a balancer on the platform
    And a configuration
    And workers "w1"
    And every worker "hangs"
    When a caller sends "POST /write/a" with the body "order"
    Then the answer is 504
    And the log tells of an attempt that was "given-up" at "w1"

  Scenario: A refusal for want of room is told with the best worker and what was believed of it
    Given a balancer on the platform
    And a configuration
    And workers "w1"
    And worker "w1" reports the load "4,900,4,100"
    When 3 look-ups are sent, one each 50 ms
    And a caller sends "POST /write/a" with the body "order"
    Then the answer is 503
    And the log tells that "w1" was expected to answer too late

  # Guards against a request that waits in the queue of a full upstream until its target latency is over.
  Scenario: A refusal by a full service comes at once, and is told with the best worker
    Given a balancer on the platform
    And a configuration
    And workers "w1"
    And worker "w1" reports the load "4,12,4,100"
    When 3 look-ups are sent, one each 50 ms
    And a caller sends "POST /write/a" with the body "order"
    Then the answer is 503
    And the answer says when to come back
    And the log tells that "w1" was full, and the caller was told so within 250 ms

  # Guards against a crashing request that can't be followed from one send to the next.
  Scenario: Broken attempts at the same request can be matched though each send has its own id
    Given a balancer on the platform
    And a configuration
    And workers "w1"
    And every worker "resets"
    When a caller sends "POST /write/a" with the body "order"
    And a caller sends "POST /write/a" with the body "order"
    And a caller sends "POST /write/a" with the body "another order"
    Then the log tells of 3 broken attempts at 2 requests
