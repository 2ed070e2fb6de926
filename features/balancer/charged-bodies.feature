Feature: The body of a request that its quota refuses takes no memory

  # Guards against refused uploads that keep the memory of all bodies until they end, and against ones without a limit.
  Scenario Outline: A refused <kind> body returns its memory at once
    Given a <kind> body of which a part was received
    When its quota <outcome>
    Then no memory is taken for bodies
    And what is received of it from then on takes none, up to the end

    Examples:
      | kind    | outcome          |
      | sized   | refuses it       |
      | chunked | refuses it       |
      | sized   | can't be charged |
      | chunked | can't be charged |

  # Guards against a complete body that is kept for a request which is never passed on.
  Scenario Outline: A complete body is not kept when its quota <outcome>
    Given a sized body of which all was received
    When its quota <outcome>
    Then no memory is taken for bodies

    Examples:
      | outcome          |
      | refuses it       |
      | can't be charged |

  # Guards against a refused upload that goes on without end.
  Scenario: A refused body keeps its limit
    Given a chunked body of which a part was received
    When its quota refuses it
    And more is received than a body may have
    Then its connection is closed
