Feature: An entry that starts learns from the others which upstreams have left

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And worker "w2" "error"

  # Guards against an upstream that an entry which has just started uses, since it has not seen the departure before a late announcement.
  Scenario Outline: A late announcement of an upstream that <how> is taken by no new entry
    When worker "w1" <how>
    And an older announcement of worker "w1" is written
    And another entry starts
    And 1500 ms pass at the site
    And look-ups are sent to all entries for 500 ms
    Then worker "w1" got at most 0 of them
    When worker "w1" starts anew and no longer leaves
    And look-ups are sent to all entries for 800 ms
    Then worker "w1" got at least 1 of them

    Examples:
      | how                                            |
      | vanishes from the store                        |
      | announces that it drains                       |
      | drains and vanishes from the store             |

  # Guards against a departure that is dropped, since a late announcement replaces it in the same read.
  Scenario: A departure and a late announcement that are read together
    When worker "w1" vanishes and an older announcement of it is written at once
    And look-ups are sent to all entries for 500 ms
    Then worker "w1" got at most 0 of them
