Feature: The command line works against a running entry

  Scenario: An operator sees and changes what a running entry does
    Given "start.mjs --free-ports" runs
    When the operator runs "manifest status" against it
    Then the exit status is 0
    And the output contains "entry-1  home    home-a         1"
    When the operator runs "manifest submit examples/small/manifest.jsonc --based-on 1" against it
    Then the exit status is 0
    And the messages contain "Accepted as revision 2."
    When the operator runs "manifest submit examples/small/manifest.jsonc --based-on 1" against it
    Then the exit status is 0
    And the messages contain "Accepted earlier as revision 2."
    When the operator runs "manifest submit examples/small/manifest.jsonc --based-on 1 --submission other" against it
    Then the exit status is 1
    And the messages contain "revision 2 is in force"
    When the operator runs "manifest show" against it
    Then the output contains "// One site: one entry, one service"
    When the operator runs "entries --json" against it
    Then the output is JSON that contains ""state":"serving""
    When the operator runs "upstreams" against it
    Then the output contains "shop-2"
    When the operator runs "load-watch --json" against it
    Then the output is JSON that contains ""requestsPerSecond":20"
    When the operator runs "time-line" against it
    Then the output contains "manifest.applied  revision 2"
