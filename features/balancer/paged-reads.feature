Feature: A complete read of the store in several pages misses no change

  # Guards against records of an older page that are never read again, as a watch from the position of a newer page reports only what came after it.
  Scenario Outline: The second page stands at revision <second>, the first at <first>
    Given a store whose pages stand at the revisions <first> and <second>
    When all of its records are read
    Then the records of both pages are read
    And a watch goes on from revision <position>

    Examples:
      | first | second | position |
      | 10    | 7      | 7        |
      | 10    | 12     | 10       |

  # Guards against a page without a key to go on from, whose successors are left out without an error.
  Scenario: A page of which no item has a key, and which is not the last one
    Given a store whose first page has no key and is not the last one
    When all of its records are read
    Then the read fails as malformed
