Feature: An item of the store that can't be read hides none of those beside it

  # Guards against one item that makes a whole page of records, or a whole answer to a watch, unreadable.
  Scenario Outline: An item with <oddity>, in <answer>
    Given a store whose answers to <answer> have an item with <oddity> between two sound ones
    When the records are read by <answer>
    Then both sound records are read
    And the odd one is <read>

    Examples:
      | oddity                | answer        | read                |
      | no base64 value       | complete read | read as unreadable  |
      | a number as value     | complete read | read as unreadable  |
      | no revision           | complete read | read as unreadable  |
      | a revision of 1e308   | watch         | read as unreadable  |
      | a list as tombstone   | watch         | read as unreadable  |
      | no key                | watch         | left out            |
      | nothing but null      | complete read | left out            |
