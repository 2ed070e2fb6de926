Feature: A configuration denies requests only while the store has confirmed it lately

  # Guards against a denial by a configuration that was replaced while the entry was cut off, or its machine suspended.
  Scenario Outline: <passed> ms after the confirmation, of which <suspended> ms in a suspension, requests <verdict>
    Given a configuration that the store confirms
    When <passed> ms pass for the entry, and its machine is suspended for <suspended> ms
    Then requests <verdict>
    When the store confirms the configuration again
    Then requests may be denied

    Examples:
      | passed | suspended | verdict           |
      | 2500   | 0         | may be denied     |
      | 2501   | 0         | may not be denied |
      | 100    | 3000      | may not be denied |
      | 100    | 10        | may be denied     |

  # Guards against denials right after a pause by a confirmation that was given before it, and read after it.
  Scenario Outline: An answer of the store that is read after a pause of <pause> ms confirms <what>
    Given a configuration that the store confirms
    When the entry asks the store, and the answer waits in the buffer while the entry stands still for <pause> ms
    Then requests <verdict>
    When the store confirms the configuration again
    Then requests may be denied

    Examples:
      | pause | what              | verdict           |
      | 4000  | nothing           | may not be denied |
      | 300   | the configuration | may be denied     |

  # Guards against an entry that denies requests by records of which it doesn't know how old they are.
  Scenario: A configuration that was never confirmed denies nothing
    Given a configuration that the store has never confirmed
    Then requests may not be denied

  # Guards against denials by a configuration that operators have replaced by one that this entry can't read.
  Scenario: A configuration denies nothing once a newer one was read that can't be applied
    Given a configuration that the store confirms
    When a newer configuration is read that cannot be applied
    Then requests may not be denied
