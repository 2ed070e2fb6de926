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

  # Guards against callers that get nothing until the cut is known for sure.
  Scenario Outline: Most first tries are served in the first second of a cut: <how>
    When the links of entry 1 to all workers are "<how>"
    And 1000 ms of first tries are counted
    Then at least 67 of 100 first tries at each entry were served
    And no order ran twice

    Examples:
      | how       |
      | silent    |
      | half-open |
      | reset     |
      | refusing  |

  # Guards against requests that are passed around among entries where no upstream runs at all.
  Scenario: Where all workers have ended, requests are refused at once and hardly relayed
    When all workers end
    And 2500 ms pass at the site
    And 1000 ms of first tries are counted
    Then 90 of 100 first tries were refused as not run within 500 ms, with when to come back
    And the entries relayed at most 60 of them

  # Guards against relayed requests that are broken off by a planned stop of the entry that sends them.
  Scenario: First tries are served while an entry that relays stops as planned
    Given the links of entry 1 to all workers are "silent"
    And 400 ms pass at the site
    When the last entry stops
    And 2500 ms of first tries are counted
    Then at least 95 of 100 first tries at entry 1 were served
    And no order ran twice

  # Guards against work that goes on at an upstream after the caller of a relayed request has left.
  Scenario: The upstream of a relayed request sees its caller leave
    Given entry 1 has lost its links, and its callers have ended
    And every worker "hangs"
    When a caller sends "GET /read/left" and leaves after 300 ms
    Then a worker that got "/read/left" sees its caller leave

  # Guards against requests that were given up while links were silent, and reach upstreams once the links are back.
  Scenario: A request whose caller has its answer reaches no worker after the cut
    Given the links of all entries to all workers are "silent"
    And 1000 ms of first tries are counted
    When the links of all entries to all workers are "open"
    And 1000 ms pass at the site
    Then no worker got any of them

  # Guards against relayed requests that are given more time than their callers wait.
  Scenario: A relayed request ends at its deadline, and the upstream knows it
    Given entry 1 has lost its links, and its callers have ended
    And every worker "hangs"
    When a caller sends "POST /write/late" with id "late" and 600 ms
    Then the answer is 504 within 900 ms
    And a worker got "late" with at most 600 ms

  # Guards against bodies that are cut or changed on the way through another entry.
  Scenario: A large upload passes through another entry unchanged
    Given entry 1 has lost its links, and its callers have ended
    When a caller sends "POST /write/large" with a body of 90000 bytes
    Then the answer is 200
    And a worker got the path "/write/large" with 90000 bytes

  # Guards against requests that pass by the rules of routes on the port for other entries.
  Scenario Outline: A message to relay <what> reaches no worker
    Given entry 1 has lost its links, and its callers have ended
    When a message to relay "<path>" to the service "<service>" is sent to entry 2 from "<from>"
    Then it is answered <answer>
    And no worker got the path "<path>"

    Examples:
      | what                                   | path           | service | from      | answer                                   |
      | a path without a route                 | /admin/1       | shop    | 127.0.0.1 | 200 as not run for "other-configuration" |
      | to a service that the route doesn't name | /read/other  | other   | 127.0.0.1 | 200 as not run for "other-configuration" |
      | from an address that is no entry's     | /read/foreign  | shop    | 127.0.0.2 | 403 as not run for "unreached"           |
