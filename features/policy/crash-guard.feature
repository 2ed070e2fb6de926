Feature: A request is quarantined for upstreams that crash under it, and for no others

  Background:
    Given a crash guard that quarantines after 3 crashes

  Scenario: Crashes that several entries report add up
    When entry "a" reports that "guilty" crashed "u1, u2"
    And entry "b" reports that "guilty" crashed "u2, u3"
    Then "guilty" is quarantined

  # Guards against crashes that are counted twice because they are read twice.
  Scenario: One crash that is reported again and again counts once
    When entry "a" reports that "guilty" crashed "u1"
    And entry "a" reports that "guilty" crashed "u1"
    And entry "b" reports that "guilty" crashed "u1"
    Then "guilty" is a suspect

  # Guards against a refusal of requests that ran beside a guilty one.
  Scenario: A crash is blamed on the request with the most crashes
    When entry "a" reports that "guilty" crashed "u1, u2, u3, u4"
    And entry "b" reports that "beside" crashed "u1, u2, u3"
    Then "guilty" is quarantined
    And "beside" is a suspect

  Scenario: Two guilty requests are both quarantined
    When entry "a" reports that "guilty" crashed "u1, u2, u3, u4"
    And entry "b" reports that "other" crashed "u4, u5, u6, u7"
    Then "guilty" is quarantined
    And "other" is quarantined

  Scenario: An answer clears a suspect, and tells whose reports it refutes
    When entry "a" reports that "innocent" crashed "u1"
    And entry "b" reports that "innocent" crashed "u2"
    And "innocent" is answered
    Then the answer refutes "a, b"
    And "innocent" is clear

  Scenario: An entry takes its report back
    When entry "a" reports that "innocent" crashed "u1"
    And entry "a" reports that "innocent" crashed ""
    Then "innocent" is clear

  Scenario: A quarantine ends ten minutes after the last crash, though its records are read again
    When entry "a" reports that "guilty" crashed "u1, u2, u3"
    And 9 minutes pass for the guard
    And entry "a" reports that "guilty" crashed "u1, u2, u3"
    Then "guilty" is quarantined
    When 2 minutes pass for the guard
    Then "guilty" is clear

  # Guards against memory that grows with each crash, and against a flood of suspects that frees a guilty request.
  Scenario: Suspects are bounded, and the quarantined are kept longest
    When entry "a" reports that "guilty" crashed "u1, u2, u3"
    And 6000 requests are reported that crashed one upstream each
    Then at most 4096 suspects are kept
    And "guilty" is quarantined

  Scenario: Crashes of one request are bounded
    When entry "a" reports 100 crashes of "guilty"
    Then "guilty" is quarantined
    And at most 16 crashes of "guilty" are kept
