Feature: The limit of an upstream binds all entries together

  # Guards against a sum over all entries that grows with their number.
  Scenario Outline: <entries> entries under heavy load keep a limit of <limit> a second
    Given <entries> entries that all know a limit of <limit> a second
    When each of them wants to send 20 requests a second for 60 s
    Then in any 4 s they send no more than the limit and one burst allow
    And in all they send at least half of what the limit allows

    Examples:
      | entries | limit |
      | 1       | 1.3   |
      | 14      | 0.4   |
      | 14      | 2.1   |
      | 14      | 50    |
      | 127     | 0.4   |
      | 127     | 2.1   |
      | 127     | 50    |

  # Guards against entries that start with a full bucket each time others fall or join.
  Scenario Outline: <entries> entries keep the limit while others fall, freeze and join
    Given <entries> entries that all know a limit of 2 a second
    When each of them wants to send 20 requests a second for 60 s, and one falls or joins each 2 s
    Then in any 4 s they send no more than twice what the limit and one burst allow

    Examples:
      | entries |
      | 14      |
      | 127     |

  # Guards against entries that save up what they may try, and use it all at once after a quiet time.
  Scenario: After a quiet time the entries do not all send at once
    Given 127 entries that all know a limit of 1 a second
    When 600 s go by without requests
    And each of them wants to send 20 requests a second for 4 s
    Then in any 4 s they send no more than the limit and one burst allow

  # Guards against a limit that holds on where nobody hears that it has ended.
  Scenario: An entry that sends nothing finds out in time that a limit has ended
    Given 14 entries that all know a limit of 2 a second
    When each of them wants to send 20 requests a second for 120 s
    Then each of them has sent a request

  # Guards against a later answer that is overruled by what another entry heard before it.
  Scenario: What was said last holds, whoever heard it
    Given 1 entries that all know a limit of 2 a second
    When an end of the limit is heard 100 ms later
    And a limit of 3 a second is told that was heard 50 ms before that
    Then there is no limit

  # Guards against urgent requests that find the limit used up by others.
  Scenario: Less urgent requests leave what limits allow to urgent ones that were refused
    Given a service whose upstreams all name limits
    When a request of priority 1 is refused
    Then one of priority 1 may use limited upstreams, one of priority 2 may not
    And a second later both may
