Feature: Each answer with status 3xx or 4xx of an entry's own has one log line that tells why

  Background:
    Given a balancer on the platform
    And a configuration with a route to services without weight
    And workers "w1"

  # Guards against requests that are turned away without a trace of the cause.
  Scenario Outline: <what> is answered <status>, as <event> with <reason>
    When a caller sends <what>
    Then it gets the status <status>
    And one line "<event>" tells the reason "<reason>" and the request
    And the line tells what the decision was based on
    And the counter of own answers with status <status> and reason "<reason>" stands at 1

    Examples:
      | what                               | status | event                  | reason              |
      | a look-up for an unknown host      | 404    | request.unrouted       | unknown-host        |
      | a look-up for an unknown path      | 404    | request.unrouted       | unknown-path        |
      | a head over the limit              | 431    | request.head-refused   | head-too-large      |
      | a long body with its length        | 413    | request.body-refused   | declared-length     |
      | a long body in chunks              | 413    | request.body-refused   | read-length         |
      | a body in too many chunks          | 413    | request.body-refused   | chunk-count         |
      | a request without a host           | 400    | request.protocol-error | no-host             |
      | a request with an odd expectation  | 417    | request.protocol-error | unknown-expectation |

  # Guards against a 404 for want of weight, which callers take as final.
  Scenario: A look-up for a route of no weight is refused as not run, and its line names the route
    When a caller sends a look-up for a route of no weight
    Then it gets the status 503
    And it is refused as not run on the route "idle", with the reason "no-weight"

  # Guards against limits that callers and entries measure in different ways, which the log can't show.
  Scenario Outline: The line tells the size of <what>, and the limit
    When a caller sends <what>
    Then the line "<event>" has the size <size>, the limit <limit> and <read> read bytes

    Examples:
      | what                        | event                | size   | limit  | read   |
      | a head over the limit       | request.head-refused | 9000   | 8192   | no     |
      | a long body with its length | request.body-refused | 100001 | 100000 | 0      |
      | a long body in chunks       | request.body-refused | 100001 | 100000 | 100001 |
      | a body in too many chunks   | request.body-refused | 18725  | 18724  | 18725  |

  # Guards against refused connections of which the log doesn't tell what arrived on them.
  Scenario Outline: A connection that is refused for <what> is told with <reason>
    When a caller sends a look-up, and <what> behind it once it is answered
    Then it gets the statuses 200 and <status>
    And the refused connection has the reason "<reason>", the cause "<cause>", 1 earlier requests and the bytes "<bytes>"
    And the counter of own answers with status <status> and reason "<reason>" stands at 1

    Examples:
      | what                      | status | reason        | cause                    | bytes                               |
      | bytes that are no request | 400    | malformed     | HPE_INVALID_METHOD       | \01\02 xxxxxxx\0d\0a\0d\0a          |
      | the rest of a body        | 400    | malformed     | HPE_INVALID_METHOD       | {"xxxxxx":9}                        |
      | a target with a space     | 400    | malformed     | HPE_INVALID_CONSTANT     | GET /read/a x XXXX/9.9\0d\0aXxxx: x\0d\0a\0d\0a |
      | a head beyond all limits  | 431    | head-overflow | HPE_HEADER_OVERFLOW      | xxxxxxxxxxxxxxxxxxxxxxxx            |

  # Guards against a 408 that the log doesn't tell from a malformed request.
  Scenario: A connection whose request doesn't arrive is told as overdue
    When a caller connects and sends nothing until it is answered
    Then it gets the status 408
    And the counter of own answers with status 408 and reason "overdue" stands at 1

  # Guards against keys of client accounts in the log of a head that the parser refuses.
  Scenario: The line of a refused connection tells no part of a key, wherever the parser fails
    When callers send heads with a key and a wrong byte at each place
    Then more than 20 connections were refused
    And no part of the key is in the log

  # Guards against other answers than before to requests that Node's server refused by itself.
  Scenario Outline: <what> is answered as Node's server does
    When a caller sends <what>
    Then it gets what Node's server answers

    Examples:
      | what                                       |
      | a request without a host                   |
      | a request without a host that waits to go on |
      | a request with an odd expectation          |

  # Guards against calls of other entries, or of callers that look for entries, that are refused without a trace.
  Scenario Outline: <method> <path> at the port <port> is answered <status> and told
    When "<method> <path>" with the body "<body>" is sent to the port <port>
    Then it gets the status <status>
    And one line "<event>" tells the reason "<reason>"
    And the counter of own answers with status <status> and reason "<reason>" stands at 1

    Examples:
      | method | path           | body | port                 | status | event             | reason                 |
      | GET    | /none?a=1      |      | for lists of entries | 404    | discovery.refused | unknown-discovery-path |
      | GET    | /none?a=1      |      | for followers        | 404    | message.refused   | unknown-feed-path      |
      | POST   | /none          | {}   | for followers        | 404    | message.refused   | unknown-feed-path      |
      | POST   | /v1/suspects   | none | for followers        | 400    | message.refused   | unreadable-message     |
      | POST   | /v1/relay      | none | for followers        | 403    | relay.foreign     | foreign-relay          |

  # Guards against a relayed request that can't be read and leaves no line.
  Scenario: A relayed request that can't be read is told
    Given an entry that is announced at the address of this machine
    When "POST /v1/relay" with the body "none" is sent to the port for followers
    Then it gets the status 400
    And one line "relay.unreadable" tells the reason "unreadable-relay"
    And the counter of own answers with status 400 and reason "unreadable-relay" stands at 1

  # Guards against followers that come late and are not counted.
  Scenario: A follower that comes too late is counted
    When "GET /v1/records?after=-5" with the body "" is sent to the port for followers
    Then it gets the status 410
    And the counter of own answers with status 410 and reason "history-lost" stands at 1

  # Guards against a configuration in force of which nobody knows whence it came, and how old it is.
  Scenario: The line of an applied configuration tells its source, and a gauge its age
    Then the line of the applied configuration tells the source "store", the revision and the age of the records
    And the age of the configuration in force is told

  # Guards against an entry that starts with records that may be old, and of which nobody can tell why.
  Scenario: A start with records that the store didn't confirm is told
    Given an entry that starts while the store doesn't tell its revision
    Then the line "records.unconfirmed" tells the cause "down"
    And the line of that entry's applied configuration tells no age of the records
