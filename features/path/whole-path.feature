Feature: A request goes from a caller to an upstream and back

  Every part is a process of its own: the store, the list of VMs, two entries,
  two upstreams and a caller.

  Background:
    Given a site of two entries in two availability zones
    And an operator has submitted its manifest to the first entry
    And the manifest is in force at every entry

  Scenario: Each kind of request is answered
    Then a caller is told of both entries
    And a look-up through each entry is answered by an upstream
    And an order that is sent to both entries runs once
    And an upload through each entry arrives whole

  Scenario: An order without a key is refused as not run
    Then an order without a key is refused as "not-run" for "key-required"

  Scenario: A request that is given up at its deadline is told so
    When every upstream answers only after every deadline
    Then a look-up through the first entry is refused as "unknown" for "deadline-exceeded"

  # Guards against an answer to what comes behind a request, which its caller takes for the answer to the request.
  Scenario: Bytes that are no request get no answer before that to the look-up before them
    When every upstream answers after 600 ms
    Then a look-up with bytes that are no request behind it gets one answer, with status 200

  # Guards against a proper request on a slow link that is called malformed, so that its caller never sends it again.
  Scenario: A request whose head doesn't arrive in time is told so
    When a caller sends a part of the head of a look-up, and waits for an answer
    Then the connection is answered with the status 408 for "request-timeout"
