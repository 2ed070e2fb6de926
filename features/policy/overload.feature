Feature: An overload ends when its cause ends, and serves as many callers in time as the upstreams allow

  # Guards against full queues that keep themselves full: each late request takes the slot of one that could be answered in time.
  Scenario Outline: <load> times what <upstreams> upstreams with <slots> slots can run comes to <entries> entries, and goes on
    Given <entries> entries before <upstreams> upstreams with <slots> slots
    When <load> times what they can run is asked for 12 s
    Then at least 0.85 of what one entry that knows all loads at each moment answers in time is answered in time after 2 s
    And entries that queue late requests answer less than half of that
    And no kind of request is answered in time less than half as often as all

    Examples:
      | entries | upstreams | slots | load |
      | 15      | 24        | 2     | 1.5  |
      | 15      | 24        | 2     | 2.5  |
      | 90      | 24        | 4     | 1.5  |
      | 312     | 36        | 4     | 1.5  |

  # Guards against overload that outlives two bursts while upstreams are taken away, as on the heaviest days.
  Scenario: Two bursts come while a third of the upstreams leaves
    Given 15 entries before 24 upstreams with 2 slots
    When 0.85 of what 16 upstreams can run is asked for 24 s, and 1.3 times that from 3 s to 8 s and from 9 s to 11 s, while 8 upstreams leave at 4 s
    Then at least 0.9 of what one entry that knows all loads at each moment answers in time is answered in time after 13 s

  # Guards against refusals where upstreams have room.
  Scenario Outline: <load> of what <upstreams> upstreams with <slots> slots can run comes to <entries> entries
    Given <entries> entries before <upstreams> upstreams with <slots> slots
    When <load> times what they can run is asked for 12 s
    Then at most 1 in 100 requests is refused

    Examples:
      | entries | upstreams | slots | load |
      | 15      | 24        | 2     | 0.6  |
      | 312     | 36        | 4     | 0.6  |

  # Guards against callers that come back while the overload that they were refused for goes on.
  Scenario: Callers come back later the longer an overload lasts
    When 300 requests are refused over 3 s by an entry whose upstreams are full, with a slot each 40 ms
    Then those refused in the first 100 ms come back within 210 ms
    And those refused in the last 300 ms come back after 1300 to 4600 ms, in at least 20 different milliseconds

  # Guards against a less urgent request that takes the slot for which a more urgent one waits.
  Scenario: A slot is left to a more urgent request that waits
    Given an entry at which a request of priority 1 waits for a slot
    Then a request of priority 2 waits while 1 slot is free
    And a request of priority 1 is sent while 1 slot is free
    And a request of priority 2 is sent while 2 slots are free
