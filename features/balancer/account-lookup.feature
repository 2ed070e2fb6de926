Feature: Accounts and routes are found at a cost that doesn't grow with their number

  # Guards against a search through all accounts, or through all routes of a host, on each request.
  Scenario Outline: Finding <what> among <many> costs about as much as among <few>
    Given tables with <few> and <many> <what>
    Then a lookup in the larger one takes at most 12 times as long as in the smaller one

    Examples:
      | what     | few | many  |
      | accounts | 79  | 10000 |
      | routes   | 79  | 10000 |

  # Guards against an index of prefixes that finds another route than the longest prefix, or none.
  Scenario: Routes are found as a search through all of them finds them
    When 2000 tables of routes are drawn from seed 5
    Then each path finds the first route with the longest prefix of its host

  # Guards against the priority of a route that passes over that of an account, and an account that changes public routes.
  Scenario Outline: A request of the account <account> on a <route> route has the priority <priority>
    Then a request of the account "<account>" on a "<route>" route has the priority <priority>

    Examples:
      | account | route  | priority |
      | urgent  | closed | 0        |
      | lazy    | closed | 9        |
      | plain   | closed | 3        |
      | urgent  | public | 3        |

  # Guards against keys and names beyond ASCII, which clients send in one of two encodings, and which headers carry byte by byte.
  Scenario Outline: A key beyond ASCII that a client sends as <encoding> is found
    Then the key "schlüssel-€1" that is sent as <encoding> is found: <found>

    Examples:
      | encoding | found |
      | UTF-8    | yes   |
      | Latin-1  | yes   |

  # Guards against a name by which headers could be added, or that can't be sent.
  Scenario Outline: An account's name in headers: <name>
    Then an account named <name> is <outcome>

    Examples:
      | name           | outcome                     |
      | "Käserei"      | sent as its bytes of UTF-8  |
      | "a\u000d\u000aX-Evil:" | refused |
      | "a\u0000"      | refused                     |
      | "__proto__"    | sent as its bytes of UTF-8  |

  # Guards against numbers that no quota can have, whatever a decoder lets pass.
  Scenario Outline: A quota of <quota> is <outcome>
    Then an account with the quota <quota> is <outcome>

    Examples:
      | quota     | outcome |
      | 0         | taken   |
      | 1e12      | taken   |
      | NaN       | refused |
      | Infinity  | refused |
      | -Infinity | refused |
      | -1e-9     | refused |
      | 1e13      | refused |

  # Guards against keys in the text that says why a configuration can't be read.
  Scenario Outline: What is said of an unreadable configuration holds no key: <fault>
    When a configuration is decoded with <fault>
    Then it can't be read, and what is said of it holds no key

    Examples:
      | fault                               |
      | keys that are a text                |
      | keys that are an object             |
      | a key that is an object             |
      | accounts in a list                  |
      | an account that is its key          |
      | an account that is a list of keys   |
      | a quota that is a key               |
      | a quota beyond all numbers          |
      | a version that is a key             |
      | its second half missing             |

  # Guards against work for each account at each version, and against accounts that are taken over though they changed.
  Scenario: Only accounts and routes that changed are decoded and indexed again
    When a configuration and one with a changed account are decoded
    Then the unchanged accounts and routes are the same objects
    And the changed account has its new keys alone
    And a configuration with the same accounts shares their index

  # Guards against an unknown field whose depth ends the comparison with the version before, and so the configuration.
  Scenario: A deeply nested unknown field changes nothing
    When a configuration with a field nested 5000 levels deep is decoded twice
    Then both are read

  # Guards against a memory of revoked keys without bound, and one that still refuses a key that is valid again.
  Scenario: The last revoked keys are remembered with their accounts
    When 1500 keys are revoked one version after the other
    Then the last 1000 of them lead to their account, and no other key does
    And a revoked key that is given to another account is found there

  # Guards against refusals that can't be counted by their cause.
  Scenario: Refusals are counted by their reason
    Given a log
    When a line "request.unauthorized" with the reason "revoked-key" is logged
    Then the counter of events has that reason as its label
