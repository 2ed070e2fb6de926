Feature: Entries of different builds run side by side while they are replaced one by one

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
