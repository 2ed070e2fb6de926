Feature: Settings of an entry are checked as a whole

  Scenario: Complete settings get their defaults
    Given the settings
      """
      {
        // One entry of three.
        "name": "entry-1", "vm": "vm-1", "region": "north", "zone": "north-a",
        "callers": {"address": "192.0.2.7:8080"},
        "peers": {"address": "192.0.2.7:8081"},
        "operators": {"address": "127.0.0.1:8082"},
        "platform": {
          "kind": "etcd",
          "endpoints": ["http://192.0.2.1:2379"],
          "vmList": {"url": "http://192.0.2.1:2380/vms"}
        }
      }
      """
    When the settings are checked
    Then the settings are accepted with the log format "text" and the prefix "/wasabidyke"

  Scenario: Every finding of the schema stands with its place
    Given the settings
      """
      {
        "name": "Entry 1", "vm": "vm-1", "region": "north", "zone": "north-a",
        "callers": {"address": "192.0.2.7:99999"},
        "operators": {"address": "127.0.0.1:8082", "token": {"environment": "A-B"}},
        "platform": {"kind": "consul"},
        "log": {"format": "xml", "level": "debug"}
      }
      """
    When the settings are checked
    Then the findings of the settings are
      | code             | path                        | line |
      | invalid_format   | name                        | 2    |
      | custom           | callers.address             | 3    |
      | invalid_format   | operators.token.environment | 4    |
      | invalid_union    | platform.kind               | 5    |
      | invalid_value    | log.format                  | 6    |
      | unknown-property | log.level                   | 6    |

  Scenario: Every finding between settings stands with its place
    Given the settings
      """
      {
        "name": "entry-1", "vm": "vm-1", "region": "north", "zone": "north-a",
        "callers": {"address": "0.0.0.0:8080"},
        "operators": {
          "address": "0.0.0.0:8080"
        },
        "platform": {
          "kind": "etcd",
          "endpoints": ["http://192.0.2.1:2379", "http://192.0.2.1:2379"],
          "vmList": {"url": "http://192.0.2.1:2380/vms"}
        }
      }
      """
    When the settings are checked
    Then the findings of the settings are
      | code               | path                  | line |
      | peers-required     |                       | 1    |
      | wildcard-address   | callers.address       | 3    |
      | duplicate-address  | operators.address     | 5    |
      | wildcard-address   | operators.address     | 5    |
      | token-required     | operators.address     | 5    |
      | duplicate-endpoint | platform.endpoints[1] | 9    |

  Scenario Outline: The token comes from one place
    Given settings whose token is <token>
    When the settings are checked
    Then the findings of the settings are
      | code         | path            | line |
      | token-source | operators.token | 1    |

    Examples:
      | token                                |
      | {}                                   |
      | {"file": "token", "environment":"A"} |
