Feature: In an overload of requests of several priorities, those are delayed or refused that cost callers least

  # Guards against urgent requests that share the shortage with others, against slots that are kept free for nobody, and against priorities that are starved.
  Scenario Outline: <load> comes to <entries> entries that admit by value
    Given <entries> entries that admit by value
    When <load> comes
    Then at least 0.95 of the most urgent are answered in time
    And at least 0.85 of the credit that the capacity allows is earned
    And each priority is served at least a quarter as often as all

    Examples:
      | entries | load                             |
      | 15      | too much of all priorities       |
      | 100     | too much of all priorities       |
      | 312     | too much of all priorities       |
      | 15      | too much of the least urgent     |
      | 100     | too much of the least urgent     |
      | 312     | too much of the least urgent     |
      | 15      | a burst of 2.4 times for 7 s     |
      | 100     | a burst of 2.4 times for 7 s     |
      | 312     | a burst of 2.4 times for 7 s     |
      | 15      | work of 4 s beside work of 0.1 s |
      | 100     | work of 4 s beside work of 0.1 s |
      | 312     | work of 4 s beside work of 0.1 s |

  # Guards against callers that come back while they have no chance, and so take the slots of the urgent.
  Scenario Outline: Returns after a refusal come to <entries> entries
    Given <entries> entries that admit by value
    When too much of all priorities, with four returns after a refusal, comes
    Then at least 0.95 of the most urgent are answered in time
    And at least 0.85 of the credit that the capacity allows is earned

    Examples:
      | entries |
      | 15      |
      | 100     |
      | 312     |

  # Guards against a floor that starves the most urgent or the least urgent requests when the most urgent alone are too many.
  Scenario Outline: Too much of the most urgent comes to <entries> entries that admit by value
    Given <entries> entries that admit by value
    When too much of the most urgent comes
    Then each priority is served at least a quarter as often as all
    And no priority is served less often than a less urgent one

    Examples:
      | entries |
      | 15      |
      | 100     |
      | 312     |

  # Guards against less earned than the capacity allows when the most urgent alone don't fit.
  Scenario Outline: Credit of too much of the most urgent at <entries> entries
    Given <entries> entries that admit by value
    When too much of the most urgent comes
    Then at least 0.85 of the credit that the capacity allows is earned

    Examples:
      | entries |
      | 15      |
      | 100     |
      | 312     |

  # Guards against an account that takes the slots of those that send as always.
  Scenario Outline: One account too much at <entries> entries
    Given <entries> entries that admit by value
    When one account at seven times its usual comes
    Then at least 0.8 of the requests of the others are in time, and at most 0.05 fewer than if every account sent its usual

    Examples:
      | entries |
      | 15      |
      | 100     |
      | 312     |

  # Guards against retries that are spent in order of arrival while upstreams reject what they have room for.
  Scenario Outline: Upstreams that have room reject half of what <entries> entries send
    Given <entries> entries that admit by value
    When a rejection of half of what is sent comes
    Then at least 0.03 more of the most urgent are answered in time than by order of arrival

    Examples:
      | entries |
      | 15      |
      | 100     |
      | 312     |

  # Guards against urgent requests that are refused although slots are free, while upstreams reject what they have room for.
  Scenario Outline: The most urgent are in time at <entries> entries while half is rejected
    Given <entries> entries that admit by value
    When a rejection of half of what is sent comes
    Then at least 0.95 of the most urgent are answered in time

    Examples:
      | entries |
      | 15      |
      | 100     |
      | 312     |

  # Guards against a repeat budget that less urgent or late requests use up while attempts fail.
  Scenario: Repeats are kept for the more urgent while attempts fail
    Given an entry whose upstreams reject 0.55, with 100 requests and 10 repeats of priorities 0 and 2
    Then a request of priority 0 may be sent once more
    And a request of priority 2 may not be sent once more
    And a late request of priority 0 may not be sent once more

  # Guards against repeats that nobody uses.
  Scenario: Repeats are anyone's while attempts succeed
    Given an entry whose upstreams reject 0.01, with 100 requests and 10 repeats of priorities 0 and 2
    Then a request of priority 2 may be sent once more
    And a late request of priority 2 may be sent once more

  # Guards against refusals where upstreams have room.
  Scenario Outline: Much less than too much comes to <entries> entries that admit by value
    Given <entries> entries that admit by value
    When 0.6 of what upstreams can run comes
    Then at most 1 in 100 requests is refused by entries that admit by value

    Examples:
      | entries |
      | 15      |
      | 100     |
      | 312     |

  # Guards against refused requests that come back before more urgent ones, when they have no chance.
  Scenario: More urgent requests are told to come back earlier
    Given an entry that admits by value, at which requests of priorities 0, 1 and 2 arrive
    When 300 requests are refused over 3 s at random priorities
    Then the mean time to come back of priority 0 is at most 0.6 of that of priority 2

  # Guards against a request that is held while a slot is free for it.
  Scenario: A free slot is used while slots are not scarce
    Given an entry that admits by value, at which requests of priorities 0, 1 and 2 arrive
    Then a request of priority 2 is sent while 4 of 24 slots are free
    And a request of priority 2 is sent while 1 of 24 slots is free after it waited

  # Guards against an urgent request that is refused although it would be in time in a queue, as at a service with few slots.
  Scenario: The queue of an upstream is used by the most urgent while they are in time there
    Given an entry that admits by value, at which requests of priorities 0, 1 and 2 arrive
    When slots have been scarce for 3 s
    Then a request of priority 0 is sent while 0 of 4 slots are free
    And a request of priority 2 waits while 0 of 4 slots are free

  # Guards against less urgent requests that take the last slots when the more urgent find few.
  Scenario: The last slots are reserved while slots are scarce
    Given an entry that admits by value, at which requests of priorities 0, 1 and 2 arrive
    When slots have been scarce for 3 s
    Then a request of priority 2 waits while 2 of 24 slots are free
    And a request of priority 0 is sent while 2 of 24 slots are free

  # Guards against a kind of request that is never served because it is never in time.
  Scenario: A request that can't be in time uses a free slot that nobody else needs
    Given an entry that admits by value, at which requests of priorities 0, 1 and 2 arrive
    Then a request of priority 1 that can't be in time is sent while 10 of 24 slots are free
    When slots have been scarce for 3 s
    Then a request of priority 1 that can't be in time is refused while 10 of 24 slots are free

  # Guards against a service that admits by value without need, or not although more than one priority arrives.
  Scenario Outline: A service is used by <use>
    Given a configuration in which a service is used by <use>
    Then requests of <priorities> can arrive at the service

    Examples:
      | use                                                                         | priorities         |
      | routes of priority 1 and 1                                                  | one priority       |
      | routes of priority 0 and 2                                                  | several priorities |
      | routes of priority 0 and 2 of which the second has weight 0                 | one priority       |
      | routes of priority 0 and 2, and accounts of priority 1                      | one priority       |
      | routes of priority 1 and 1, and accounts of priority 0 and 2                | several priorities |
      | routes of priority 1 and 1, and accounts of priority 1 and 0 without a key  | one priority       |
      | routes of priority 1 and 1 of which the first is public, and accounts of priority 2 | several priorities |
