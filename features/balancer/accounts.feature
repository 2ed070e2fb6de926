Feature: Requests are served on the account whose key they carry, and on no other

  Background:
    Given a balancer on the platform
    And client accounts
    And workers "w1"

  # Guards against requests that are served without a valid key, and against valid keys that are refused.
  Scenario Outline: A look-up with <fields> is answered <status>
    When a look-up is sent with the fields "<fields>"
    Then its status is <status>
    And the workers got <sent> requests of it
    And no key is found in the log, the metrics or at a worker

    Examples:
      | fields                                                  | status | sent |
      | Wasabidyke-Key: secret-alpha-1                          | 200    | 1    |
      | WASABIDYKE-KEY: secret-alpha-2                          | 200    | 1    |
      | wasabidyke-key:secret-beta, 1                           | 200    | 1    |
      |                                                         | 401    | 0    |
      | Wasabidyke-Key:                                         | 401    | 0    |
      | Wasabidyke-Key: secret-alpha                            | 401    | 0    |
      | Wasabidyke-Key: Secret-alpha-1                          | 401    | 0    |
      | Wasabidyke-Key: secret-alpha-1 secret-alpha-1           | 401    | 0    |
      | Wasabidyke-Key: secret-alpha-1 ~ Wasabidyke-Key: x      | 401    | 0    |
      | Wasabidyke-Key: secret-alpha-1 ~ wasabidyke-key:        | 401    | 0    |
      | Wasabidyke-Key: secret-beta ~ WASABIDYKE-KEY: 1         | 401    | 0    |
      | Wasabidyke-Tenant: alpha                                | 401    | 0    |
      | Authorization: secret-alpha-1                           | 401    | 0    |

  # Guards against a caller that passes for another account, or hides its own, and against keys that reach workers.
  Scenario Outline: A worker gets the account's name whatever the caller sends: <fields>
    When a look-up is sent with the fields "Wasabidyke-Key: secret-alpha-1 ~ <fields>"
    Then its status is 200
    And the worker got the account "alpha"
    And no key is found in the log, the metrics or at a worker

    Examples:
      | fields                                                    |
      | Wasabidyke-Tenant: beta                                   |
      | WASABIDYKE-TENANT: beta ~ wasabidyke-tenant: nobody       |
      | Connection: close, Wasabidyke-Tenant                      |
      | Connection: wasabidyke-tenant ~ Wasabidyke-Tenant: beta   |
      | Connection: Wasabidyke-Key                                |

  # Guards against a public route on which a caller names an account, or hands its key to a worker.
  Scenario Outline: A public route needs no key and drops both headers: <fields>
    When "GET /open/a" is sent with the fields "<fields>"
    Then its status is 200
    And the worker got no account
    And no key is found in the log, the metrics or at a worker

    Examples:
      | fields                                                       |
      |                                                              |
      | Wasabidyke-Key: secret-alpha-1 ~ Wasabidyke-Tenant: alpha    |
      | Wasabidyke-Key: secret-none ~ Wasabidyke-Key: secret-alpha-2 |
      | wasabidyke-tenant: alpha ~ WASABIDYKE-TENANT: beta           |

  # Guards against keys of callers that are ahead of the first accounts and so reach workers.
  Scenario: Without accounts a key is not needed and reaches no worker
    Given the configuration has no accounts any more
    When a look-up is sent with the fields "Wasabidyke-Key: secret-alpha-1 ~ Wasabidyke-Tenant: alpha"
    Then its status is 200
    And the worker got no account
    And no key is found in the log, the metrics or at a worker

  # Guards against a refusal for its size of what has no route.
  Scenario: What has no route is not found, however large its headers are
    When "GET /other/a" is sent with a key of 20000 bytes
    Then its status is 404

  # Guards against a 401 that hides a wrong path.
  Scenario Outline: What has no route is not found, with or without a key
    When "GET /other/a" is sent with the fields "<fields>"
    Then its status is 404

    Examples:
      | fields                         |
      |                                |
      | Wasabidyke-Key: secret-none    |
      | Wasabidyke-Key: secret-alpha-1 |

  # Guards against a refusal that leads nowhere, and one whose line holds the key or the query.
  Scenario Outline: The log leads from a request to why it was refused: <reason>
    When "GET /read/a?token=secret-query" is sent with the fields "<fields>"
    Then its status is 401
    And the log tells of the request, its route, the version and the reason "<reason>"
    And no key is found in the log, the metrics or at a worker

    Examples:
      | fields                                          | reason       |
      |                                                 | missing-key  |
      | Wasabidyke-Key:                                 | missing-key  |
      | Wasabidyke-Key: secret-none                     | unknown-key  |
      | Wasabidyke-Key: secret-1 ~ Wasabidyke-Key: s-2  | repeated-key |

  # Guards against a key that works on connections that were opened before it was revoked.
  Scenario: A revoked key is refused on an open connection, and the account's other key is not
    Given a connection on which the key "secret-alpha-1" is accepted
    And a connection on which the key "secret-alpha-2" is accepted
    When the key "secret-alpha-1" of "alpha" is revoked
    Then the key "secret-alpha-1" is refused on its connection
    And the key "secret-alpha-2" is accepted on its connection
    And the log names "alpha" as the account whose key was revoked
    And no key is found in the log, the metrics or at a worker

  # Guards against requests that pass behind a valid one on its connection.
  Scenario: Each pipelined request needs its own key
    When look-ups with these keys are sent one behind the other
      | secret-alpha-1 |
      |                |
      | secret-none    |
      | secret-beta, 1 |
    Then they are answered "200, 401, 401, 200" in order
    And the workers got 2 requests of it

  # Guards against an upload that is begun with a valid key and runs long after the key was revoked.
  Scenario: An upload that ends after its key was revoked does not run
    Given an upload with the key "secret-alpha-1" of which half has arrived
    When the key "secret-alpha-1" of "alpha" is revoked
    And the rest of the upload arrives
    Then the upload is answered 401
    And the workers got 0 requests of it

  # Guards against a 401 for a key that every configuration allows.
  Scenario: An upload whose key stays valid runs, though the configuration changes
    Given an upload with the key "secret-alpha-2" of which half has arrived
    When the key "secret-alpha-1" of "alpha" is revoked
    And the rest of the upload arrives
    Then the upload is answered 200
    And the workers got 1 requests of it

  # Guards against an upload that runs on the account that its key belonged to before, with that one's quota and regions.
  Scenario: An upload whose key moves to another account is to be sent again
    Given an upload with the key "secret-alpha-1" of which half has arrived
    When the key "secret-alpha-1" moves from "alpha" to "beta"
    And the rest of the upload arrives
    Then the upload is answered 503
    And the workers got 0 requests of it

  # Guards against long keys that are searched for or logged, or that end the entry.
  Scenario Outline: A key of <bytes> bytes is refused without harm
    When a look-up is sent with a key of <bytes> bytes
    Then its status is <status>
    And the workers got 0 requests of it
    When a look-up is sent with the fields "Wasabidyke-Key: secret-alpha-1"
    Then its status is 200

    Examples:
      | bytes  | status |
      | 2000   | 401    |
      | 60000  | 431    |
      | 100000 | 431    |

  # Guards against callers that take an entry's restart for a wrong key.
  Scenario: An entry without a configuration answers 503, with or without a key
    Given an entry that has no configuration
    When a look-up without a key is sent to that entry
    Then the answer is 503 within 1000 ms
    And the answer says when to come back

  # Guards against a revoked key that stays valid because the next configuration is refused, and a good one that is lost.
  Scenario Outline: A configuration with <fault> is refused as a whole
    When a configuration with <fault> is written
    Then the log tells that it was refused because of "<account>"
    And the former configuration is still in force
    When a look-up is sent with the fields "Wasabidyke-Key: secret-alpha-1"
    Then its status is 200
    And no key is found in the log, the metrics or at a worker
    When a configuration without a fault is written
    Then the newest configuration is in force within 3000 ms

    Examples:
      | fault                    | account |
      | one key at two accounts  | beta    |
      | a negative quota         | beta    |
      | a negative burst         | beta    |
      | a quota over 10^12       | beta    |
      | a burst over 10^12       | beta    |
      | a key over 1 kB          | beta    |
      | an empty key             | beta    |
      | a key with outer blanks  | beta    |
      | a key with a line break  | beta    |

  # Guards against configurations that are refused though nothing in them is wrong.
  Scenario Outline: A configuration with <oddity> is applied
    When a configuration with <oddity> is written
    Then the newest configuration is in force within 3000 ms

    Examples:
      | oddity                       |
      | one key twice at one account |
      | an account without keys      |
      | a key of 1 kB                |
      | a key with inner blanks      |
      | a quota of 10^12             |
      | no accounts in its table     |

  # Guards against a mistake in a list of regions that nobody sees, and one that fills the log.
  Scenario: Unknown regions are logged when they change, and not with each version
    When a configuration with an unknown region is written
    Then the newest configuration is in force within 3000 ms
    And the log names the region "moon" and the account "beta" once
    When a configuration with an unknown region is written
    Then the newest configuration is in force within 3000 ms
    And the log has 1 line on unknown regions
    When a configuration with two unknown regions is written
    Then the newest configuration is in force within 3000 ms
    And the log has 2 lines on unknown regions

  # Guards against an empty table of accounts that lets everyone in.
  Scenario: An empty table of accounts admits nobody
    When a configuration with no accounts in its table is written
    Then the newest configuration is in force within 3000 ms
    When a look-up is sent with the fields "Wasabidyke-Key: secret-alpha-1"
    Then its status is 401
