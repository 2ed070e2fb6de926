Feature: An upstream that says in an answer that it leaves gets nothing more from that entry

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And worker "w2" "error"

  # Guards against an upstream that is sent requests until the store tells of its leaving.
  Scenario: It gets no request after its answer
    When worker "w1" says in its answers that it leaves
    And look-ups are sent to all entries for 300 ms
    And look-ups are sent to all entries for 500 ms
    Then worker "w1" got at most 0 of them
    And worker "w1" got no load queries

  # Guards against an older announcement that brings it back, also after its record vanished.
  Scenario: No older announcement brings it back, but a new start does
    When worker "w1" says in its answers that it leaves
    And look-ups are sent to all entries for 300 ms
    And worker "w1" is announced once more
    And worker "w1" vanishes from the store and is announced again
    And look-ups are sent to all entries for 500 ms
    Then worker "w1" got at most 0 of them
    When worker "w1" starts anew and no longer leaves
    And look-ups are sent to all entries for 800 ms
    Then worker "w1" got at least 1 of them
