Feature: The time lines of several processes are merged

  Background:
    Given entries with these events
      | entry | wall time | counter | kind             |
      | one   | 1000      | 0       | entry.started    |
      | two   | 1000      | 0       | entry.started    |
      | one   | 2000      | 0       | manifest.applied |
      | two   | 2000      | 1       | manifest.applied |
      | two   | 2000      | 2       | upstream.ejected |
      | one   | 2001      | 0       | upstream.ejected |

  Scenario Outline: Events stand in causal order
    When the operator runs "time-line <words>" against the entry "one"
    Then the exit status is 0
    And the merged events are in the order of the table

    Examples:
      | words               |
      | --json              |
      | --format json-lines |

  Scenario: Entries that are named are read without the others
    When the operator runs "time-line" against the entries "two" and "one"
    Then the exit status is 0
    And the output contains "1970-01-01T00:00:02.000Z      2  two      upstream.ejected"

  Scenario: Browsers' trace viewers open the trace-event format
    When the operator runs "time-line --format trace-event" against the entry "two"
    Then the exit status is 0
    And the trace has 2 named processes and 6 instants in rising order

  Scenario: An entry that does not answer leaves the time line incomplete
    Given the entry "two" has stopped
    When the operator runs "time-line --json" against the entry "one"
    Then the exit status is 3
    And the messages contain "Cannot reach the entry"
    And the merged events are those of "one"
