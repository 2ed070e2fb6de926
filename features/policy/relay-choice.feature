Feature: Requests are relayed through entries that reach the service, with little work

  # Guards against relays that all cut entries choose alike, and against searches that grow with the number of entries.
  Scenario Outline: <cut> of <entries> entries are cut off, <place>
    Given <entries> entries in 6 availability zones of 3 regions, of which <cut> are cut off, <place>
    When each of the cut ones gets 20 requests a second for 10 s
    Then at least <served> of 100 requests after the first second were served
    And a request was relayed <relays> times at most on average
    And no other entry got more than 6 times its share

    Examples:
      | entries | cut | place         | served | relays |
      | 14      | 3   | zone by zone  | 99     | 1.5    |
      | 14      | 8   | spread        | 99     | 1.5    |
      | 127     | 22  | zone by zone  | 99     | 1.5    |
      | 127     | 64  | spread        | 99     | 1.5    |
      | 127     | 112 | spread        | 95     | 2.5    |

  # Guards against relays of each request where no entry reaches the service, as when all its upstreams have crashed.
  Scenario Outline: All <entries> entries are cut off
    Given <entries> entries in 6 availability zones of 3 regions, of which <entries> are cut off, spread
    When each of the cut ones gets 20 requests a second for 10 s
    Then each entry relayed at most 15 requests a second

    Examples:
      | entries |
      | 14      |
      | 127     |
