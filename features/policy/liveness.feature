Feature: Entries find out together which of them are down

  # Guards against work that grows with the number of entries, and against lists that name dead ones for long.
  Scenario Outline: <lost> of <entries> entries that go off are known to be down by all others
    Given <entries> entries in <zones> availability zones of 3 regions
    When <lost> of them go off, drawn with seed <seed>
    Then the others know it after at most 5000 ms
    And none believes that another one is down
    And no entry sent more than <messages> messages

    # The loss of one entry costs the others the same at any size; the loss of many costs at most 100 messages a second.
    Examples:
      | entries | zones | lost | seed | messages |
      | 14      | 6     | 1    | 1    | 60       |
      | 127     | 9     | 1    | 4    | 60       |
      | 14      | 6     | 5    | 2    | 800      |
      | 14      | 6     | 7    | 3    | 800      |
      | 127     | 9     | 3    | 5    | 800      |
      | 127     | 9     | 70   | 6    | 800      |

  # Guards against a whole availability zone that is lost at once, so that nobody in it can tell.
  Scenario: The loss of an availability zone is known to all others
    Given 127 entries in 9 availability zones of 3 regions
    When zone "region-1-a" goes off
    Then the others know it after at most 5000 ms
    And none believes that another one is down

  # Guards against a region that takes the rest of the system for dead because it is cut off.
  Scenario: A region that is cut off keeps all entries, and the others keep theirs
    Given 14 entries in 6 availability zones of 3 regions
    When region "region-1" is cut off for 8000 ms
    Then no entry of "region-1" believes that another one is down

  # Guards against an entry that stays off the lists because it could not be reached for a while.
  Scenario: An entry that is back takes back what was said of it
    Given 14 entries in 6 availability zones of 3 regions
    When entry "entry-5" is cut off for 8000 ms
    And 2000 ms go by
    Then none believes that another one is down

  # Guards against one entry that can't reach another and condemns it for all.
  Scenario: An entry that one other can't reach is up
    Given 14 entries in 6 availability zones of 3 regions
    When entry "entry-4" can't reach the next one for 10000 ms
    Then none believes that another one is down
