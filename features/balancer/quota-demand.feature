Feature: A region tells the others one demand for an account

  # Guards against a stand-in that tells the little that it sees: the others raise
  # their shares by it while the chosen entry still grants by the former demand,
  # so that the shares add up to more than the rate.
  Scenario Outline: The demand that falls is told by the entry that is chosen: <entry>
    Given a granting entry that is <entry> for an account
    And it has told a demand of 10 requests a second
    When its demand falls to nothing
    Then it has told <messages> messages in all

    Examples:
      | entry      | messages |
      | chosen     | 2        |
      | a stand-in | 1        |
