Feature: Selection follows load without being misled

  Scenario Outline: An upstream that fails fast attracts no work under <policy>
    Given 6 upstreams that answer in 40 ms
    And upstream 1 fails in 1 ms
    When 3000 requests, 5 ms apart, are sent by "<policy>" with seed 7
    Then upstream 1 gets under 6 % of the requests

    Examples:
      | policy               |
      | random               |
      | round-robin          |
      | least-in-flight      |
      | two-choices          |
      | two-choices-reported |
      | hot-cold             |

  Scenario Outline: A new upstream gets a rising share under <policy>
    Given 6 upstreams that answer in 40 ms
    And upstream 1 begins its ramp
    When 1000 requests, 5 ms apart, are sent by "<policy>" with seed 7
    Then upstream 1 gets under 12 % of the requests
    When 2000 requests, 5 ms apart, are sent by "<policy>" with seed 7
    And 1000 requests, 5 ms apart, are sent by "<policy>" with seed 7
    Then upstream 1 gets over 12 % of the requests

    Examples:
      | policy               |
      | random               |
      | round-robin          |
      | least-in-flight      |
      | two-choices          |
      | two-choices-reported |
      | hot-cold             |

  Scenario Outline: Reports are followed when fresh and not when old under <policy>
    Given 2 upstreams that answer in 40 ms
    And upstream 1 reported 9 requests and upstream 2 reported 1, <age> ms ago
    When 400 requests, 0 ms apart, are selected by "<policy>" with seed 7
    Then upstream 1 gets from <least> to <most> % of the requests

    Examples:
      | policy               | age  | least | most |
      | two-choices-reported | 1    | 0     | 30   |
      | two-choices-reported | 5000 | 35    | 65   |
      | hot-cold             | 1    | 0     | 30   |
      | hot-cold             | 5000 | 35    | 65   |

  Scenario: A report that contradicts what is seen loses trust
    Given 2 upstreams that answer in 40 ms
    When upstream 1 reports 0 requests 4 times while it holds 8
    Then upstream 1 is believed less than upstream 2 would be

  Scenario Outline: A header that is no usable report is passed over
    When the load header is "<header>"
    Then the report tells <requests> requests

    Examples:
      | header                                                                        | requests |
      | JSON {'application_utilization':0.5,'named_metrics':{'requests_in_flight':3}} | 3        |
      | JSON {'named_metrics':{'requests_in_flight':-1}}                              | no       |
      | JSON {'named_metrics':{'requests_in_flight':'many'}}                          | no       |
      | JSON {                                                                        | no       |
      | TEXT requests_in_flight=3                                                     | no       |
      |                                                                               | no       |
