Feature: Requests that an upstream may be running are known until it has answered, or has long been seen to run

  # Guards against an end that is blamed only on requests which somebody still waits for.
  Scenario: Requests that were given up are under way for two seconds
    Given "waits" and "left" are sent to an upstream at 0 ms
    When "left" is given up at 100 ms
    And the upstream is seen at 2000 ms
    Then "waits, left" may be under way
    When the upstream is seen at 2100 ms
    Then "waits" may be under way

  # Guards against requests that are blamed although the upstream has answered or refused them.
  Scenario: A request that is settled is under way no longer
    Given "settled" and "waits" are sent to an upstream at 0 ms
    When "settled" is settled
    And "settled" is given up at 100 ms
    Then "waits" may be under way

  # Guards against ends that are found only after the request has come again.
  Scenario: An upstream must be seen soon after a request was given up, and less often later
    Given "left" and "waits" are sent to an upstream at 0 ms
    Then the upstream needn't be seen
    When "left" is given up at 100 ms
    Then the upstream must be seen at 250 ms
    When the upstream is seen at 300 ms
    Then the upstream must be seen at 700 ms
    When the upstream is seen at 700 ms
    Then the upstream must be seen at 2100 ms
    When the upstream is seen at 2100 ms
    Then the upstream needn't be seen

  # Guards against memory that grows with the callers that leave.
  Scenario: Requests that were given up are bounded, and the latest are kept
    When 1000 requests are sent to an upstream and given up at once
    Then 32 of them may be under way, the latest among them

  # Guards against requests that are blamed for the end of an upstream which had ended when they were sent.
  Scenario: What was sent after an upstream had ended is not under way there
    Given "waits" and "left" are sent to an upstream at 100 ms
    When the upstream had ended by 50 ms
    Then "waits, left" may be under way
    When the upstream had ended by 100 ms
    Then nothing may be under way
