Feature: Broken manifests name all of their findings

  Scenario: The manifest that the others start from
    Given a good manifest
    When the manifest is checked
    Then it has no findings

  Scenario Outline: Broken by <edits>
    Given a good manifest, but with <edits>
    When the manifest is checked
    Then all of its findings are <findings>

    Examples: What a schema tells
      | edits                                                                          | findings                                                                                   |
      | name = "Small Shop"                                                            | invalid_format name                                                                        |
      | loadWatch -; entries.maximum = 0                                               | invalid_type loadWatch; too_small entries.maximum                                          |
      | colour = "green"; entries.retries = 2                                          | unknown-property entries.retries; unknown-property colour                                  |
      | services[0].requests[0].kind = "twice"; services[1].requests[0].timeoutMs = 0  | invalid_value services[0].requests[0].kind; too_small services[1].requests[0].timeoutMs    |
      | services[0].upstreams[0].address = "shop.example:80"                           | custom services[0].upstreams[0].address                                                    |
      | services[0].upstreams[0].address = "192.0.2.256:80"                            | custom services[0].upstreams[0].address                                                    |
      | services[0].upstreams[0].address = "0.0.0.0:9001"                              | custom services[0].upstreams[0].address                                                    |
      | services[0].upstreams[0].address = "192.0.2.1:0"                               | custom services[0].upstreams[0].address                                                    |
      | services[0].pathPrefix = "/a/../b"; services[0].requests[0].path = "x"         | invalid_format services[0].requests[0].path; invalid_format services[0].pathPrefix         |
      | services = []                                                                  | too_small services                                                                         |

    Examples: What the parts tell about each other
      | edits                                                                                             | findings                                                                                                             |
      | regions[1].name = "north"; regions[1].zones[0] = "north-b"                                        | duplicate-region regions[1].name; duplicate-zone regions[1].zones[0]; unknown-region services[0].upstreams[1].region |
      | services[1].name = "shop"                                                                         | duplicate-service services[1].name; duplicate-prefix services[1].name                                                |
      | services[0].pathPrefix = "/photos/"; services[1].pathPrefix = "/photos"                           | duplicate-prefix services[1].pathPrefix                                                                              |
      | services[0].pathPrefix = "/v1"; services[1].pathPrefix = "/v1/photos"                             | reserved-prefix services[0].pathPrefix; reserved-prefix services[1].pathPrefix                                       |
      | services[1].upstreams[0].address = "192.0.2.2:9001"                                               | duplicate-address services[1].upstreams[0].address                                                                   |
      | services[0].upstreams[1].name = "shop-1"; services[0].upstreams[1].region = "west"                | duplicate-upstream services[0].upstreams[1].name; unknown-region services[0].upstreams[1].region                     |
      | services[0].upstreams[1].zone = "north-b"                                                         | unknown-zone services[0].upstreams[1].zone                                                                           |
      | services[1].upstreams[0].zone = "north-b"                                                         | vm-in-two-zones services[1].upstreams[0].vm                                                                          |
      | services[1].upstreams[0].connections = 3                                                          | slots-exceed-connections services[1].upstreams[0].slots; too-few-connections services[1].upstreams[0].connections    |
      | services[0].upstreams[0].leaving = true; services[0].upstreams[1].leaving = true                  | no-upstream-stays services[0].upstreams                                                                              |
      | services[0].requests[1].name = "look"; services[0].requests[1].path = "/"; services[0].requests[1].methods = ["POST", "HEAD"] | duplicate-request services[0].requests[1].name; duplicate-route services[0].requests[1].methods[1]; safe-method-once services[0].requests[1].methods[1] |
      | services[0].requests[1].retries = 1; services[1].requests[0].retries = 1                          | retries-not-idempotent services[0].requests[1].retries; retries-not-idempotent services[1].requests[0].retries       |
      | entries.retryShare = 0                                                                            | retries-without-share services[0].requests[0].retries                                                                |
      | services[1].requests[0].methods = ["PUT", "CONNECT", "PUT"]                                       | unsupported-method services[1].requests[0].methods[1]; duplicate-route services[1].requests[0].methods[2]            |
      | loadWatch.crossRegionBytesPerSecond = 20001                                                       | budget-exceeds-whole loadWatch.crossRegionBytesPerSecond                                                             |
      | loadWatch.bytesPerSecond = 0; loadWatch.crossRegionBytesPerSecond = 0                             | budget-without-bytes loadWatch.bytesPerSecond                                                                        |
      | loadWatch.requestsPerSecond = 0                                                                   | budget-without-requests loadWatch.requestsPerSecond                                                                  |

    Examples: Findings of both kinds come together, and none is made up
      | edits                                                                                  | findings                                                                                                          |
      | name = 7; services[0].upstreams[1].zone = "north-b"                                    | invalid_type name; unknown-zone services[0].upstreams[1].zone                                                     |
      | services[0].upstreams[1].slots = 0; services[0].upstreams[1].address = "192.0.2.1:9001" | duplicate-address services[0].upstreams[1].address; too_small services[0].upstreams[1].slots                      |
      | regions[1] = "south"                                                                   | invalid_type regions[1]                                                                                           |
      | services[0].upstreams[0] = null; services[0].upstreams[1].leaving = true               | invalid_type services[0].upstreams[0]                                                                             |
      | services[0].requests[1].path = 7; services[0].requests[1].methods = ["PUT", "GET"]     | safe-method-once services[0].requests[1].methods[1]; invalid_type services[0].requests[1].path                    |
