Feature: An answer that begins before its request has arrived is whole, or isn't taken

  Background:
    Given a balancer on the platform
    And a configuration
    And a configuration that allows bodies of 10000000 bytes

  # Guards against a part of an answer that a caller gets as a whole one, after a reset while its request was being written.
  Scenario Outline: An upload of <bytes> bytes whose answer <framing> is cut by a <ending> is not answered by the worker
    Given a worker that answers at once "200 OK" <framing>, and then a <ending>
    When 5 uploads of <bytes> bytes are sent one after the other
    Then each of them is answered 502 without a part of the answer

    Examples:
      | bytes   | framing                 | ending      |
      | 100     | without a length        | reset       |
      | 100000  | without a length        | reset       |
      | 6000000 | without a length        | reset       |
      | 6000000 | without a length        | reset later |
      | 6000000 | that closes             | reset       |
      | 6000000 | that closes             | reset later |

  # Guards against a whole answer that is thrown away because its request was still being written.
  Scenario Outline: An upload of 6000000 bytes whose answer <framing> has an <ending> in order is answered by the worker
    Given a worker that answers at once "413 Too Large" <framing>, and then an <ending>
    When 5 uploads of 6000000 bytes are sent one after the other
    Then each of them is answered 413 with the answer of the worker

    Examples:
      | framing          | ending               |
      | without a length | end                  |
      | without a length | end after the upload |
      | that closes      | end                  |
      | that closes      | end after the upload |

  # Guards against a part of an answer that counts as whole because it names a coding whose end is that of the connection.
  Scenario Outline: An upload of <bytes> bytes whose answer <framing> is cut by a reset is not answered by the worker
    Given a worker that answers at once "200 OK" <framing>, and then a reset
    When 5 uploads of <bytes> bytes are sent one after the other
    Then each of them is answered 502 without a part of the answer

    Examples:
      | bytes   | framing                |
      | 100     | coded gzip             |
      | 6000000 | coded gzip             |
      | 100     | coded identity         |
      | 6000000 | coded identity         |
      | 100     | coded chunked, gzip    |
      | 100     | coded chunked and gzip |

  # Guards against an answer that is thrown away although its connection ended in order.
  Scenario: An answer whose coding ends with its connection is whole when that ends in order
    Given a worker that answers at once "200 OK" coded identity, and then an end
    When 5 uploads of 6000000 bytes are sent one after the other
    Then each of them is answered 200 with the answer of the worker

  # Guards against an entry that ends with an error, and all its requests with it, when a worker ends while its answers wait for their turn.
  Scenario Outline: Answers in many chunks that are cut by <ending> while they wait for their turn are not taken
    Given a worker that answers at once "200 OK" in chunks that closes, and then <ending>
    And its answers have <chunks> chunks of one byte
    When 40 orders are sent to it at the same time
    Then each of them ends without a success

    Examples:
      | chunks | ending        |
      | 1025   | a reset       |
      | 1025   | a reset later |
      | 1500   | a reset later |
      | 3000   | a reset later |
      | 1025   | an end        |
