Feature: Late in the grace of a planned stop, callers get an answer before the process is killed

  Background:
    Given a site of two entries that are killed 4 seconds after they were told to stop
    And an operator has submitted its manifest to the first entry
    And the manifest is in force at every entry
    And a look-up through each entry is answered by an upstream

  # Guards against requests that are cut off without an answer, since an entry doesn't know when its grace ends.
  Scenario: Requests that no upstream answers in time are told so
    When every upstream answers only after every deadline
    And a look-up, an order and an upload are under way at the first entry
    And the first entry is told to stop
    Then each of them is refused as "unknown" for "deadline-exceeded" in time
    And the first entry has ended by itself

  # Guards against a stop that gives up requests which upstreams answer in time.
  Scenario: Requests that an upstream answers in time are served
    When every upstream answers after 1500 ms
    And a look-up, an order and an upload are under way at the first entry
    And the first entry is told to stop
    Then each of them is served
    And the first entry has ended by itself
