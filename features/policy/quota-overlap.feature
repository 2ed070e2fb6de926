Feature: The quota of an account holds over all entries while its granting entry is disturbed

  An account begins to send 7.5 times its usual while the entries of its region are disturbed. Entries learn of each
  other at different moments. The requests that all entries let through are added up.

  # Guards against two entries that have the right to grant at the same time, against one that acts on a right that has
  # run out, and against entries that each begin with tokens of their own.
  Scenario Outline: <what>
    When an account sends more than its quota while <what>, with 3, 6 and 10 entries
    Then the requests of any 5 s were within the bound, for quotas of 4, 7, 40 and 121 requests per second

    Examples: The granting entry stands still
      | what                                                       |
      | its granting entry stands still for 1 s                    |
      | its granting entry stands still for 2 s                    |
      | its granting entry stands still for 3.5 s                  |
      | its granting entry stands still for 5 s                    |
      | its granting entry stands still twice                      |
      | its granting entry is suspended for 2 s                    |
      | its granting entry is suspended for 5 s                    |
      | its granting entry is suspended twice                      |

    Examples: The granting entry is cut off
      | what                                                       |
      | its granting entry is cut off for 2 s                      |
      | its granting entry is cut off for 5.5 s                    |
      | its granting entry is cut off twice                        |
      | nothing reaches its granting entry                         |
      | nothing arrives that its granting entry sends              |
      | half of the entries are cut off from the others            |
      | half of the entries are cut off from the others twice      |

    Examples: Entries are replaced
      | what                                                       |
      | entries are stopped in turn                                |
      | entries are killed in turn                                 |
      | its granting entry is killed twice                         |
      | its granting entry stands still and the next one is cut off |
      | its granting entry is stopped and the next one stands still |

  # Guards against an entry that counts itself out until it is announced, and then waits as if it had been cut off.
  Scenario: An entry that has just been announced may grant all of its share
    Given an entry that is asked for its part before it is announced
    When it is announced
    Then it may grant all of the share of its region

  # Guards against permissions that last as long as the monotonic clock says, which stands still in a suspension.
  Scenario: A right to grant runs out while the machine is suspended
    Given an entry with the right to grant, and a monotonic clock that stands still while it is suspended
    When it is suspended for 3000 ms
    Then it doesn't have the right to grant

  # Guards against a right that ends at each short silence, of which callers would notice.
  Scenario: A short pause doesn't end the right to grant
    Given an entry with the right to grant, and a monotonic clock that stands still while it is suspended
    When it is suspended for 900 ms
    Then it still has the right to grant
