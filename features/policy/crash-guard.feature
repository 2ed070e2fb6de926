Feature: A request is quarantined for upstreams that crash under it, and for no others

  Background:
    Given a crash guard that quarantines after 3 crashes

  # Guards against crashes that are counted at each entry by itself.
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

  # Guards against a guilty request that hides behind another one.
  Scenario: Two guilty requests are both quarantined
    When entry "a" reports that "guilty" crashed "u1, u2, u3, u4"
    And entry "b" reports that "other" crashed "u4, u5, u6, u7"
    Then "guilty" is quarantined
    And "other" is quarantined

  # Guards against an innocent request that stays a suspect although it was answered.
  Scenario: An answer clears a suspect, and tells whose reports it refutes
    When entry "a" reports that "innocent" crashed "u1"
    And entry "b" reports that "innocent" crashed "u2"
    And "innocent" is answered
    Then the answer refutes "a, b"
    And "innocent" is clear

  # Guards against a report that stays in force at others after its entry has taken it back.
  Scenario: An entry takes its report back
    When entry "a" reports that "innocent" crashed "u1"
    And entry "a" reports that "innocent" crashed ""
    Then "innocent" is clear

  # Guards against a cleared request that an older record, still on its way, makes a suspect again.
  Scenario: A record that is older than a known one changes nothing
    When entry "a" reports that "innocent" crashed "u1"
    And "innocent" is answered
    And a record of "innocent" arrives that entry "a" wrote before
    Then "innocent" is clear

  # Guards against callers that are refused for what another one sends.
  Scenario: A request is quarantined for the caller whose sends crash upstreams
    When entry "a" reports that "page" of caller "x" crashed "u1, u2, u3"
    Then "page" of caller "x" is quarantined
    And "page" of caller "y" is clear

  # Guards against a guilty request that escapes because it comes from another address each time.
  Scenario: A request that crashes upstreams for several callers is quarantined for all
    When entry "a" reports that "page" of caller "x" crashed "u1"
    And entry "b" reports that "page" of caller "y" crashed "u2"
    And entry "c" reports that "page" of caller "z" crashed "u3"
    Then "page" of caller "w" is quarantined

  # Guards against a page that many callers ask for and that is refused to all because upstreams crash now and then.
  Scenario: A request that some callers get answered is not quarantined for all
    When entry "a" reports that "page" of caller "x" crashed "u1"
    And "page" of caller "w" is answered
    And entry "b" reports that "page" of caller "y" crashed "u2"
    And entry "c" reports that "page" of caller "z" crashed "u3"
    Then "page" of caller "w" is clear
    And "page" of caller "x" is a suspect

  # Guards against the loss of a rack that is blamed on a request which was under way at several of its upstreams.
  Scenario: Upstreams that crash together quarantine nothing
    When entry "a" reports that "innocent" was under way at these upstreams when they crashed
      | upstream | from | to  |
      | u1       | 0    | 100 |
      | u2       | 50   | 101 |
      | u3       | 90   | 102 |
    Then "innocent" is a suspect

  # Guards against a hedged look-up that is refused for a request beside it, which crashed both of its upstreams in turn.
  Scenario: A hedged request is not blamed for what another one crashed in turn
    Given a crash guard that quarantines after 2 crashes, also if they overlap
    When entry "a" reports that "hedged" was under way at these upstreams when they crashed
      | upstream | from | to  |
      | u1       | 0    | 100 |
      | u2       | 50   | 140 |
    Then "hedged" is quarantined
    When entry "b" reports that "guilty" crashed "u1, u2"
    Then "hedged" is a suspect
    And "guilty" is quarantined

  # Guards against a guilty request that goes free because another one crashed the same upstreams before.
  Scenario: An earlier crash of the same upstreams explains nothing
    Given a crash guard that quarantines after 2 crashes, also if they overlap
    When entry "b" reports that "earlier" crashed "u1, u2"
    And 1 minutes pass for the guard
    And entry "a" reports that "guilty" was under way at these upstreams when they crashed
      | upstream | from  | to    |
      | u1       | 60000 | 60100 |
      | u2       | 60050 | 60140 |
    Then "guilty" is quarantined

  # Guards against a guilty request that goes free because one beside it lost a further upstream by chance.
  Scenario: A request that crashed upstreams in turn stays quarantined whatever ran beside it
    Given a crash guard that quarantines after 2 crashes, also if they overlap
    When entry "a" reports that "guilty" crashed "u1, u2"
    And entry "b" reports that "beside" crashed "u1, u2, u3"
    Then "guilty" is quarantined

  # Guards against a guilty request that is sent several times at once, or waits at a busy upstream while it is sent again.
  Scenario: Sends that overlap are held to the same number of upstreams, once there is a crash after them
    When entry "a" reports that "guilty" was under way at these upstreams when they crashed
      | upstream | from | to  |
      | u1       | 0    | 100 |
      | u2       | 50   | 101 |
      | u3       | 110  | 120 |
    Then "guilty" is quarantined

  # Guards against a guilty request whose crashes are taken for the loss of a rack.
  Scenario: Upstreams that crash one after the other count one by one
    When entry "a" reports that "guilty" was under way at these upstreams when they crashed
      | upstream | from | to  |
      | u1       | 0    | 100 |
      | u2       | 100  | 101 |
      | u3       | 101  | 102 |
    Then "guilty" is quarantined

  # Guards against a request that is refused for ever.
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

  # Guards against memory that grows with each crash of one request.
  Scenario: Crashes of one request are bounded
    When this entry sees 100 crashes of "guilty"
    Then "guilty" is quarantined
    And at most 16 crashes of "guilty" are kept

  # Guards against memory that grows with each entry that reports a request.
  Scenario: Entries that report one request are bounded
    When 100 entries report that "guilty" crashed one upstream each
    Then "guilty" is quarantined
    And at most 32 crashes of "guilty" are kept

  # Guards against a page that many ask for and that is refused for minutes, since several sends of it ran beside a guilty request.
  Scenario: An answer ends a quarantine
    When entry "a" reports that "page" crashed "u1, u2, u3"
    Then "page" is quarantined
    When "page" is answered
    Then "page" is clear

  # Guards against a request that stays blamed for an upstream which only stood still.
  Scenario: A crash is withdrawn when its upstream runs after all
    When this entry sees 3 crashes of "page"
    Then "page" is quarantined
    When this entry sees that upstream "u1" runs after all
    Then "page" is a suspect
    And at most 2 crashes of "page" are kept

  # Guards against a guilty request that is freed because another one crashes an upstream at which both are under way.
  Scenario: A request that shares a crash with another guilty one stays quarantined
    When entry "a" reports that "guilty" was under way at these upstreams when they crashed
      | upstream | from | to  |
      | u1       | 0    | 100 |
      | u2       | 50   | 101 |
      | u3       | 90   | 102 |
      | u4       | 200  | 300 |
    Then "guilty" is quarantined
    When entry "b" reports that "other" was under way at these upstreams when they crashed
      | upstream | from | to  |
      | u4       | 210  | 300 |
      | u5       | 310  | 320 |
      | u6       | 330  | 340 |
    Then "guilty" is quarantined
    And "other" is quarantined
