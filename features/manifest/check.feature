Feature: A manifest is accepted or rejected as a whole

  Scenario: Every finding is reported at once with its place
    Given the manifest
      """
      {
        // One region only.
        "name": "small",
        "regions": [{"name": "north", "zones": ["north-a"]}],
        "entries": {"maximum": 4},
        "loadWatch": {
          "preference": "tail-first", "requestsPerSecond": 10,
          "bytesPerSecond": 100, "crossRegionBytesPerSecond": 200
        },
        "services": [{
          "name": "shop",
          "requests": [
            {"name": "order", "methods": ["POST"], "kind": "at-most-once", "timeoutMs": 1000, "retries": 2}
          ],
          "upstreams": [
            {"name": "shop-1", "address": "127.0.0.1:9001", "region": "north", "zone": "south-a", "vm": "vm-1", "slots": 4, "connections": 200}
          ]
        }]
      }
      """
    When the manifest is checked
    Then the findings are
      | code                   | path                                |
      | budget-exceeds-whole   | loadWatch.crossRegionBytesPerSecond |
      | retries-not-idempotent | services[0].requests[0].retries     |
      | unknown-zone           | services[0].upstreams[0].zone       |

  Scenario: Text that is nested too deeply is a finding
    Given a manifest of 100000 opening brackets
    When the manifest is checked
    Then the findings are
      | code     | path |
      | too-deep |      |
