Feature: An entry takes no answer of an upstream that may be cut

  # Guards against a part of an answer that counts as whole because it names a coding whose end is that of the connection.
  Scenario Outline: An upload of <bytes> bytes whose answer <framing> is cut by a <ending> is broken
    Given an upstream that answers at once "200 OK" <framing>, and then a <ending>
    When an entry sends it 5 uploads of <bytes> bytes
    Then each of the uploads is broken

    Examples:
      | bytes   | framing             | ending |
      | 100     | without a length    | reset  |
      | 6000000 | without a length    | reset  |
      | 100     | coded gzip          | reset  |
      | 6000000 | coded gzip          | reset  |
      | 100     | coded identity      | reset  |
      | 6000000 | coded identity      | reset  |
      | 100     | coded chunked, gzip | reset  |

  # Guards against a status of an upstream in trouble that a caller gets as an answer, and against a cause that tells nothing.
  Scenario Outline: An upload that is answered <status> is broken
    Given an upstream that answers at once "<status> Odd" of its length, and then an end
    When an entry sends it 2 uploads of <bytes> bytes
    Then each of the uploads is broken because "the status <number> is outside 100 to 599"

    Examples:
      | status | number | bytes   |
      | 000    | 0      | 100     |
      | 099    | 99     | 6000000 |
      | 600    | 600    | 100     |
      | 999    | 999    | 6000000 |
