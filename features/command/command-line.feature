Feature: Operators use the command line

  Scenario Outline: A file is checked
    Given a file "input.jsonc" with <content>
    When the operator runs "<command> check input.jsonc --json"
    Then the exit status is <status>
    And the output is JSON with <findings> findings

    Examples:
      | command  | content                | status | findings |
      | manifest | a good manifest        | 0      | 0        |
      | manifest | {"name": "Shop"}       | 2      | 5        |
      | settings | good settings          | 0      | 0        |
      | settings | {"name": "Shop"}       | 2      | 7        |

  Scenario: Findings are listed with their place
    Given a file "input.jsonc" with {"name": "Shop"}
    When the operator runs "manifest check input.jsonc"
    Then the exit status is 2
    And the messages contain "input.jsonc:1:10: Use lower-case letters, digits and inner hyphens. [invalid_format] (name)"

  Scenario Outline: Wrong use
    When the operator runs "<words>"
    Then the exit status is 2
    And the messages contain "<message>"

    Examples:
      | words                                               | message                       |
      |                                                     | Usage: wasabidyke             |
      | manifests                                           | unknown command               |
      | entries --entry localhost                           | Give an IP address and a port |
      | entries --timeout -1                                | Give seconds                  |
      | manifest check                                      | missing required argument     |
      | manifest check missing.jsonc                        | Cannot read the manifest      |
      | settings check missing.jsonc                        | unreadable-file               |
      | manifest submit missing.jsonc                       | required option '--based-on   |
      | manifest submit missing.jsonc --based-on 1          | Cannot read the manifest      |
      | manifest submit missing.jsonc --based-on 1.5        | Give a whole number           |
      | time-line --format xml                              | Allowed choices are           |
      | entries --token-file missing                        | Cannot read the token         |

  Scenario Outline: Every command explains itself with examples
    When the operator runs "<words> --help"
    Then the exit status is 0
    And the output contains "Examples:"
    And the output contains "Exit statuses:"

    Examples:
      | words           |
      |                 |
      | manifest        |
      | manifest check  |
      | manifest submit |
      | manifest show   |
      | manifest status |
      | entries         |
      | upstreams       |
      | load-watch      |
      | time-line       |
      | settings        |
      | settings check  |

  Scenario Outline: A submission ends with its outcome
    Given an entry that answers a submission with "<outcome>"
    And a file "input.jsonc" with a good manifest
    When the operator runs "manifest submit input.jsonc --based-on 7 --submission build-1 --json"
    Then the exit status is <status>
    And the messages contain "Submission build-1."
    And the messages contain "<message>"
    And the output is JSON with the outcome "<outcome>" and the submission "build-1"

    Examples:
      | outcome          | status | message                                          |
      | accepted         | 0      | Accepted as revision 8                           |
      | already-accepted | 0      | Accepted earlier as revision 8                   |
      | superseded       | 1      | revision 9 is in force                           |
      | rejected         | 1      | input.jsonc:3:5: It stands twice.                |
      | unknown          | 3      | Run the same command again                       |

  Scenario: Running a submission again uses the same identity
    Given an entry that answers a submission with "unknown"
    And a file "input.jsonc" with a good manifest
    When the operator runs "manifest submit input.jsonc --based-on 7"
    And the operator runs "manifest submit input.jsonc --based-on 7"
    And the operator runs "manifest submit input.jsonc --based-on 8"
    Then the first two submissions have the same identity and the third another

  Scenario Outline: What an entry knows is shown
    Given an entry
    When the operator runs "<words>"
    Then the exit status is 0
    And the output contains "<text>"
    When the operator runs "<words> --json"
    Then the exit status is 0
    And the output is JSON that contains "<json>"

    Examples:
      | words           | text                                                     | json                    |
      | manifest show   | {}                                                       | "revision":7            |
      | manifest status | entry-1  north   north-a         7       0               | "latestRevision":7      |
      | entries         | entry-1  serving  north   north-a  127.0.0.1:8080  -     | "incarnation":"a1b2"    |
      | upstreams       | live           2         3.5  -                        4 | "latencyMs":3.5         |
      | load-watch      | spent            0.2   56.7                   0          | "withheld":1            |

  Scenario: An entry that is not there
    Given an entry that has stopped
    When the operator runs "entries"
    Then the exit status is 1
    And the messages contain "Cannot reach the entry"

  Scenario: An entry that never answers a submission
    Given an entry that never answers
    And a file "input.jsonc" with a good manifest
    When the operator runs "manifest submit input.jsonc --based-on 7 --timeout 0.5"
    Then the exit status is 3
    And the messages contain "Run the same command again"

  Scenario Outline: A token from a file or the environment
    Given an entry with the token "correct-horse-battery"
    And a file "token" with <file>
    When the operator runs "<words>" with the token "<environment>" in the environment
    Then the exit status is <status>

    Examples:
      | file                  | words                      | environment           | status |
      | correct-horse-battery | entries --token-file token |                       | 0      |
      | wrong                 | entries --token-file token | correct-horse-battery | 1      |
      | unused                | entries                    | correct-horse-battery | 0      |
      | unused                | entries                    |                       | 1      |
