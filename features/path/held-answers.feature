Feature: An answer that is held back for a slow caller ends with its connection

  # Guards against an entry that ends with an error, and all its requests with it, when an upstream ends while a caller reads slowly.
  Scenario Outline: An answer <framing> whose connection has a <ending> while it is held back is <kind>
    Given an upstream that sends <bytes> of 2000 bytes <framing>, and then a <ending>
    When an entry sends it a look-up of a caller that reads slowly
    Then the look-up is "<kind>"

    Examples:
      | framing            | bytes | ending | kind     |
      | of its length      | 1500  | reset  | broken   |
      | of its length      | 1500  | end    | broken   |
      | of its length      | 2000  | end    | answered |
      | in chunks          | 1500  | reset  | broken   |
      | in chunks          | 1500  | end    | broken   |
