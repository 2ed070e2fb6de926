Feature: An upstream that asks an entry for rest gets nothing from it for so long

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And worker "w1" asks for a rest of "2"

  # Guards against a request for rest that nobody reads.
  Scenario: It gets no request and no load query until its rest is over
    When look-ups are sent to all entries for 500 ms
    And look-ups are sent to all entries for 1200 ms
    Then worker "w1" got at most 0 of them
    And worker "w1" got no load queries
    And all of them were answered
    When worker "w1" asks for no rest any more
    And worker "w2" "error"
    And 800 ms pass at the site
    And look-ups are sent to all entries for 600 ms
    Then worker "w1" got at least 1 of them

  # Guards against retries that pass by a request for rest.
  Scenario: Retries of requests that fail elsewhere don't reach it
    Given worker "w2" "error"
    When look-ups are sent to all entries for 500 ms
    And look-ups are sent to all entries for 1200 ms
    Then worker "w1" got at most 0 of them

  # Guards against hedges that pass by a request for rest.
  Scenario: Hedges of requests that are slow elsewhere don't reach it
    Given worker "w2" "slow"
    When look-ups are sent to all entries for 500 ms
    And look-ups are sent to all entries for 1200 ms
    Then worker "w1" got at most 0 of them

  # Guards against requests that are run at an upstream in need, or wait, where all of a service ask for rest.
  Scenario: Where all rest, requests are refused at once with when to come back
    Given worker "w2" asks for a rest of "2"
    When look-ups are sent to all entries for 500 ms
    And look-ups are sent to all entries for 800 ms
    Then worker "w1" got at most 0 of them
    And worker "w2" got at most 0 of them
    And the others were refused as not run within 100 ms, with when to come back
    And the times to come back are spread over more than 100 ms

  # Guards against callers that are told to wait for a rest although another upstream is soon free.
  Scenario: Where one of two rests and the other is full, callers come back soon
    Given worker "w1" asks for a rest of "3600"
    And worker "w2" "sheds"
    When look-ups are sent to all entries for 500 ms
    And look-ups are sent to all entries for 500 ms
    Then the others were refused as not run within 100 ms, with when to come back
    And the times to come back are under 1000 ms

  # Guards against values that are misread, or that end a process.
  Scenario Outline: A rest of "<value>" <effect>
    Given worker "w1" asks for a rest of "<value>"
    And worker "w2" "error"
    When look-ups are sent to all entries for 400 ms
    And look-ups are sent to all entries for 500 ms
    Then worker "w1" got <bound> of them

    Examples:
      | value                         | effect     | bound      |
      | 1.5                           | is kept    | at most 0  |
      | 3600                          | is kept    | at most 0  |
      | 99999999999999999999          | is kept    | at most 0  |
      | Fri, 31 Dec 2100 23:59:59 GMT | is kept    | at most 0  |
      | 0                             | is ignored | at least 1 |
      | -5                            | is ignored | at least 1 |
      | soon                          | is ignored | at least 1 |
