Feature: Connections to the store that fall silent hide no change

  Background:
    Given a store that names its era, with a record
    And an entry that reads that store
    And an entry that follows that one

  # Guards against reads that may be old as proof that a watch which has fallen silent misses nothing.
  Scenario Outline: The watch falls silent <times> time(s) <before> ms before a change, and reads may be <age> ms old
    Given reads of that store that may be old are <age> ms old
    When the connections on which a watch waits fall silent <times> times
    And the record changes <before> ms later
    Then both entries know of it within 2500 ms

    Examples:
      | times | before | age   |
      | 1     | 0      | 3000  |
      | 1     | 700    | 3000  |
      | 1     | 4000   | 3000  |
      | 2     | 1000   | 9000  |
      | 1     | 4000   | 0     |

  # Guards against proofs that each entry has to buy.
  Scenario: In a quiet time one entry asks the store, less than two times a second
    When the calls of the store are counted
    And 5000 ms pass, and the store is quiet
    Then the store was asked at most 10 times in all
