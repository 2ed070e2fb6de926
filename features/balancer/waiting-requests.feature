Feature: A request that waits for a slot is sent only if the configuration still allows it

  # Guards against a request that waits for up to an eighth of its target latency, and is sent long after its key was revoked.
  Scenario Outline: The key of a waiting request is <state> when a slot gets free
    Given a request that waits for a slot
    When its key is <state> and a slot gets free
    Then the request <outcome>

    Examples:
      | state       | outcome                                          |
      | revoked     | is refused as not run, for "other-configuration" |
      | still valid | is sent                                          |
