Feature: An entry that lost its links to the upstreams serves its callers all the same

  Background:
    Given 4 balancers on the platform with links of their own
    And a configuration
    And workers "w1, w2, w3, w4, w5, w6, w7, w8"
    And every entry knows the others
    And callers send 6 requests each 20 ms to every entry

  # Guards against an entry that knows no way to an upstream but its own connection.
  Scenario Outline: First tries at an entry that is cut off are served: <how>
    When the links of entry 1 to all workers are "<how>"
    And 400 ms pass at the site
    And 2000 ms of first tries are counted
    Then at least 95 of 100 first tries at each entry were served
    And no order ran twice

    Examples:
      | how       |
      | silent    |
      | half-open |
      | reset     |
      | refusing  |

  # Guards against the loss of most first tries where most entries are cut off at once.
  Scenario: First tries are served while three of four entries are cut off
    When the links of entries 1, 2 and 3 to all workers are "silent"
    And 400 ms pass at the site
    And 2000 ms of first tries are counted
    Then at least 95 of 100 first tries at each entry were served
    And no order ran twice

  # Guards against requests that wait for their deadline although no entry can serve them.
  Scenario Outline: Callers of entries that are all cut off are refused at once: <how>
    When the links of all entries to all workers are "<how>"
    And 2500 ms pass at the site
    And 1000 ms of first tries are counted
    Then 90 of 100 first tries were refused as not run within 500 ms, with when to come back

    Examples:
      | how    |
      | silent |
      | reset  |

  # Guards against an entry that leaves its requests to others once its own links are back.
  Scenario: An entry whose links are back uses them again
    Given the links of entry 1 to all workers are "silent"
    And 2000 ms pass at the site
    When the links of entry 1 to all workers are "open"
    And 3000 ms pass at the site
    And 1000 ms of first tries are counted
    Then at least 95 of 100 first tries at each entry were served
    And entry 1 relayed none of them

  # Guards against requests that are lost at each change of a link that comes and goes.
  Scenario: First tries are served while the links come and go each second
    When the links of entry 1 to all workers are "reset" and "open" in turn, 1000 ms each, for 6000 ms
    Then at least 90 of 100 first tries at each entry were served
    And no order ran twice

  # Guards against upstreams that count as crashed because one entry lost its links to them, so that innocent requests are refused.
  Scenario Outline: Requests that were under way when links were lost are no suspects: <entries>
    Given every worker "slow"
    And 400 ms pass at the site
    When the links of <entries> to all workers are "reset"
    And 1500 ms pass at the site
    Then the log has no "request.suspected" line

    Examples:
      | entries             |
      | entry 1             |
      | entries 1, 2 and 3  |
      | entries 1, 2, 3, 4  |
