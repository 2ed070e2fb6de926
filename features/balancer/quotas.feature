Feature: A client account gets no more than its quota from all entries together

  Background:
    Given a balancer on the platform
    And accounts with a quota of 20 requests per second and a burst of 10
    And a configuration
    And further entries in the zones "home/home-b, far/far-a, far/far-a"
    And workers "w1, w2"
    And 1500 ms pass at the site

  # Guards against a quota that each entry keeps by itself, and against callers who all return together.
  Scenario: The quota binds the sum over all entries
    When account "a-1" sends 100 requests per second to all entries for 6000 ms
    Then at most 141 of its requests were answered within any 5000 ms
    And at least 90 of its requests were answered
    And the others were answered 429 within 300 ms, with spread times to come back
    And the log names account "a-1" for each of them

  # Guards against refusals below the quota, and against shares that don't follow callers to other entries.
  Scenario Outline: What is within the quota is answered, <whether>
    When account "a-1" sends 12 requests per second to <entries> for 4000 ms
    Then all of its requests were answered

    Examples:
      | whether                        | entries                    |
      | whichever entries it goes to   | all entries                |
      | if all of it goes to one entry | entry 1                    |
      | if it moves between regions    | one entry after the other  |

  # Guards against one account that uses up what belongs to another one.
  Scenario: Accounts have quotas of their own
    When accounts "a-1" and "a-2" send 100 and 10 requests per second to all entries for 3000 ms
    Then all requests of "a-2" were answered

  # Guards against a lowered quota that entries go on granting.
  Scenario: A lowered quota applies
    When account "a-1" sends 15 requests per second to all entries for 2000 ms
    And the quota is lowered to 2 requests per second and a burst of 1
    And 1000 ms pass at the site
    And account "a-1" sends 15 requests per second to all entries for 5000 ms
    Then at most 32 of its requests were answered within any 5000 ms

  # Guards against requests that cost a message although no quota applies to them.
  Scenario: Accounts without a quota cost nothing
    When account "free" sends 30 requests per second to all entries for 1500 ms
    Then all of its requests were answered
    And no entry was asked for quotas

  # Guards against a refusal that waits for the body, and against a connection that can't be used after it.
  Scenario: A refusal doesn't wait for the body
    Given the quota is lowered to 1 requests per second and a burst of 1
    And 1000 ms pass at the site
    And account "a-1" sends 100 requests per second to all entries for 1500 ms
    When account "a-1" sends half of the body of a request, 5 times
    Then each of them was answered within 400 ms, most with 429

  # Guards against an account without a granting entry while the entry that granted for it stops.
  Scenario: An entry that stops hands over
    When the last entry stops while account "a-1" sends 8 requests per second to the first entries for 4000 ms
    Then at least 28 of its requests were answered
    And none of its requests took longer than 400 ms

  # Guards against accounts that no one grants for since the chosen entry doesn't know the message, and against one that
  # counts as down for that.
  Scenario: An entry of a build that doesn't grant is not asked, and one that doesn't know the message harms no one
    Given 20 accounts send 2 requests per second to all entries for 1000 ms
    And an announced entry "old" of build "9812e0f"
    And an announced entry "back" of build "9812e0f" that says that it grants
    When 20 accounts send 2 requests per second to all entries for 3000 ms
    Then all requests were answered
    And "old" was not asked for quotas
    And "back" was asked for quotas
    And the log has no "entry.down" line

  # Guards against requests that wait for a granting entry which is lost until it is known to be down.
  Scenario: A granting entry that falls silent is replaced
    Given 20 accounts send 2 requests per second to all entries for 1000 ms
    And an announced entry "lost" of build "9812e0f" that says that it grants
    And entry "lost" falls silent
    When 20 accounts send 2 requests per second to all entries for 3000 ms
    Then all requests were answered
    And none of its requests took longer than 400 ms
    And "lost" was asked for quotas
