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
