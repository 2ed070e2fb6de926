Feature: Entries follow older ones, so that one of them reads the store for all

  Background:
    Given entries that announced themselves in this order
      | name | zone   |
      | a1   | home-a |
      | b1   | home-b |
      | a2   | home-a |
      | a3   | home-a |
      | b2   | home-b |
      | c1   | home-c |

  Scenario Outline: <entry> follows <feeders>
    Then "<entry>" in "<zone>" may follow "<feeders>"

    Examples:
      | entry | zone   | feeders            |
      | a1    | home-a |                    |
      | a3    | home-a | a1, a2             |
      | b2    | home-b | b1                 |
      | b1    | home-b | a1                 |
      | c1    | home-c | a1, b1, a2, a3, b2 |
      | c2    | home-c | c1                 |

  Scenario: An entry that isn't announced yet asks nobody beyond its availability zone
    Then "b3" in "home-b" may follow "b1, b2"
    And "d1" in "home-d" may follow ""

  # Guards against entries that compare revisions of two eras of the store by way of an older build.
  Scenario: Entries that tell no era are followed only where the store names none
    Given the store names its era, and "a1" and "b1" are of a build that tells none
    Then "a3" in "home-a" may follow "a2"
    And "a2" in "home-a" may follow ""
    And "b2" in "home-b" may follow "a2, a3"

  # Guards against announcements whose order is that of a history that is gone.
  Scenario: Announcements of an earlier era order no entries
    Given the store has begun another era, in which "a3" and then "a2" announced themselves
    Then "a2" in "home-a" may follow "a3"
    And "a3" in "home-a" may follow ""
    And "a1" in "home-a" may follow "a3, a2"

  Scenario: An entry that announces itself anew feeds only those that came later
    When "a1" announces itself anew
    Then "a1" in "home-a" may follow "a2, a3"
    And "a2" in "home-a" may follow "b1"
