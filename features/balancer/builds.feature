Feature: Entries of different builds run side by side while they are replaced one by one

  # Guards against callers that are sent away from entries which run, because these don't know a message.
  Scenario: An entry that doesn't know the messages of others is no dead one
    Given a balancer on the platform
    And a configuration
    And entries in the availability zones "home-a, home-a, home-a"
    And an announced entry "old" of build "c71b7fa"
    When 5000 ms pass at the site
    Then "old" is named to callers
    And the log has no "entry.down" line

  # Guards against an entry that counts as down for good since its former process told the end of a build with sequences.
  Scenario: An entry that was replaced by an older build is up again
    Given a balancer on the platform
    And a configuration
    And an announced entry "old" of build "9812e0f"
    When "old" tells the others that it stops
    Then "old" is not named to callers
    When "old" announces itself as one of build "c71b7fa"
    And the others are told once more that "old" has stopped
    Then "old" is named to callers

  # Guards against requests that count as run since another entry doesn't know how to relay them.
  Scenario: A request that an older build can't relay has not run
    Given 1 balancers on the platform with links of their own
    And a configuration
    And workers "w1, w2"
    And an announced entry "old" of build "c71b7fa"
    When the links of all entries to all workers are "reset"
    And 1000 ms pass at the site
    And a caller sends "POST /write/a" with id "r-1" and 3000 ms
    Then the answer is 503 within 1500 ms
    And the answer says when to come back
    And "old" was asked to relay

  # Guards against messages and records that one build writes and another one can't read.
  Scenario Outline: What builds wrote is read: <message> of <build>
    Then the <message> of build "<build>" is read

    Examples:
      | message        | build   |
      | feed           | f514c4b |
      | feed           | c71b7fa |
      | feed           | 9812e0f |
      | feed           | 5191b2f |
      | entry record   | f514c4b |
      | entry record   | 9812e0f |
      | suspect record | c71b7fa |
      | statements     | 9812e0f |
      | limits         | 9812e0f |
      | relay request  | 5191b2f |
      | feed           | ad08e2f |
      | entry record   | ad08e2f |
      | relay request  | 0bf06d7 |
      | relay request  | 21d107c |
      | entry record   | e49d12a |
      | quota query    | e49d12a |
      | quota answer   | e49d12a |
      | quota demand   | e49d12a |

  # Guards against a change of a message or record by which landed builds can't read it any more.
  Scenario Outline: What is written has all that builds read: <message> by <build>
    Then the <message> that is written has what build "<build>" reads

    Examples:
      | message        | build   |
      | feed           | f514c4b |
      | feed           | c71b7fa |
      | entry record   | f514c4b |
      | suspect record | c71b7fa |
      | statements     | 9812e0f |
      | limits         | 9812e0f |
      | relay request  | 5191b2f |
      | feed           | ad08e2f |
      | entry record   | ad08e2f |
      | relay request  | 0bf06d7 |
      | relay request  | 21d107c |
      | entry record   | e49d12a |
      | quota query    | e49d12a |
      | quota answer   | e49d12a |
      | quota demand   | e49d12a |
