Feature: What one entry learns is soon known to all

  Scenario: A departure reaches a large region and the others
    Given 30 entries in region "north", 6 in "east" and 6 in "west"
    When entry 1 learns that VM "vm-7" is leaving
    Then every entry knows within 1 second that VM "vm-7" is leaving

  Scenario: A region that was cut off catches up
    Given 4 entries in each of 3 regions that talk to each other
    When region "west" is cut off
    And entry 1 learns that VM "vm-1" is leaving
    And entry 12 learns that VM "vm-2" is leaving
    Then every entry of the other regions knows within 1 second that VM "vm-1" is leaving
    And every entry of region "west" knows within 1 second that VM "vm-2" is leaving
    And no entry of region "west" knows that VM "vm-1" is leaving
    When region "west" is connected again
    Then every entry knows within 10 seconds that VM "vm-1" is leaving
    And every entry knows within 10 seconds that VM "vm-2" is leaving

  Scenario: Who did not acknowledge a row is named
    Given 4 entries in each of 3 regions that talk to each other
    When region "west" is cut off
    Then a row published by entry 1 is acknowledged by 7 entries and missing at 4

  Scenario: A newer manifest crosses between regions
    Given 4 entries in each of 3 regions that talk to each other
    When revision 5 comes into force at entry 1
    Then every other entry fetches its record within 10 seconds
    And the record was fetched across regions at most 8 times

  Scenario: A ledger is handed over in bounded messages
    Given 2 entries in region "north" that talk to each other
    When entry 1 hands 300 records of 16 kilobytes to entry 2
    Then entry 2 holds them all and has acknowledged each
