Feature: The quota of an account holds over all entries

  # Guards against entries that grant more than the quota together, against requests within the quota that are refused,
  # and against more messages between regions than one granting entry for all of them would need.
  Scenario Outline: <entries> entries in three regions: <fault>
    When quotas are simulated with <entries> entries and "<fault>"
    Then no account exceeds its bound in any window
    And at most <refused> in 1000 requests within the quota are refused
    And at most <messages> messages per second are sent, <cross> of them between regions

    Examples: Whatever happens, the bound holds
      | entries | fault               | refused | messages | cross |
      | 15      | none                | 10      | 560      | 200   |
      | 15      | entry lost          | 10      | 560      | 200   |
      | 15      | granting entry lost | 10      | 560      | 200   |
      | 15      | half cut off        | 60      | 560      | 300   |
      | 15      | all restarted       | 25      | 560      | 200   |
      | 15      | limit lowered       | 20      | 560      | 200   |
      | 15      | surge               | 20      | 560      | 200   |
      | 116     | none                | 10      | 560      | 200   |
      | 116     | entry lost          | 10      | 560      | 200   |
      | 116     | granting entry lost | 10      | 560      | 200   |
      | 116     | half cut off        | 40      | 620      | 300   |
      | 116     | all restarted       | 25      | 560      | 200   |
      | 116     | limit lowered       | 20      | 560      | 200   |
      | 116     | surge               | 20      | 560      | 200   |
      | 312     | none                | 10      | 560      | 200   |
      | 312     | entry lost          | 10      | 560      | 200   |
      | 312     | granting entry lost | 10      | 560      | 200   |
      | 312     | half cut off        | 40      | 620      | 300   |
      | 312     | all restarted       | 25      | 560      | 200   |
      | 312     | limit lowered       | 20      | 560      | 200   |
      | 312     | surge               | 20      | 560      | 200   |

  # Guards against a bound that holds only while most accounts are far below it, and against messages without use.
  Scenario Outline: <entries> entries while all accounts surge
    When quotas are simulated with <entries> entries and "surge of all"
    Then no account exceeds its bound in any window
    And at most 900 messages per second are sent, 250 of them between regions

    Examples:
      | entries |
      | 15      |
      | 116     |
      | 312     |

  # Guards against a reserve that gives each entry a request at the same time, and against one that is never used.
  Scenario Outline: <entries> entries without any answer stay within half of the tolerance
    When <entries> entries use the reserve of a quota of <rate> requests per second for 600 s
    Then they pass at most half of the tolerance in any window
    And they pass some

    Examples:
      | entries | rate |
      | 15      | 2    |
      | 116     | 2    |
      | 312     | 2    |
      | 116     | 500  |

  # Guards against a reserve that passes every request since its period is not finite.
  Scenario: Without a tolerance there is no reserve
    When 3 entries use the reserve of a quota of 2 requests per second for 60 s with neither overshoot nor slack
    Then they pass none

  # Guards against a share that is not a number, of which no comparison holds.
  Scenario: Without repeats no share of them is kept
    Then a budget without repeats keeps a share of 0, whether attempts fail or not

  # Guards against a lowered quota of which a full bucket is left.
  Scenario: A much lower quota applies at once
    Given a granting entry of a quota of 1000 requests per second with a burst of 1000
    When the quota is lowered to 10 with a burst of 10
    Then at most 43 requests are granted in the next 1000 ms

  # Guards against regions whose shares add up to more than the rate while they don't hear of each other.
  Scenario: A region that hears nothing keeps the share of the others
    Given a granting entry that was told 70 of 100 requests per second by another region
    When it is asked for 200 requests per second for 20 s
    Then it may grant at most 30 requests per second

  # Guards against a share of 0 while the demand of the other regions adds up to exactly the rate, as it does while nothing
  # was heard of the only other one.
  Scenario Outline: The floor holds while <whether>
    Given a granting entry of a quota of 100 requests per second with another region that <told>
    When it is asked for 200 requests per second for 3 s
    Then it may grant at least 4 requests per second
    And each answer that was refused has a time to come back of 20 to 2000 ms

    Examples:
      | whether                                | told          |
      | the other region has told nothing      | told nothing  |
      | the other region uses exactly the rate | uses all      |

  # Guards against times to come back that aren't numbers, also after the share has risen from 0.
  Scenario: An entry that may grant nothing names a time to come back
    Given a granting entry of a quota of 100 requests per second that may grant none of its region's share
    When it is asked for 200 requests per second for 3 s
    And it may grant all of its region's share
    And it is asked for 200 requests per second for 3 s
    Then each answer that was refused has a time to come back of 20 to 2000 ms

  # Guards against two groups of entries that can't see each other and both grant the whole share.
  Scenario: Two groups of one region grant no more than its share
    Then 100 entries in any two groups grant at most their share

  # Guards against a small change of the entries that moves all accounts to other granting entries.
  Scenario: A lost entry moves only the accounts that it granted for
    Then losing one of 40 entries moves no account of another one
