Feature: Entries know which other entries are there

  Scenario: Joins converge over regions
    Given 4 entries in each of 3 regions that talk to each other
    Then every entry lists 12 live entries within 10 seconds

  Scenario: A draining entry is known as draining
    Given 3 entries in region "north" that talk to each other
    When entry 2 says that it is "draining"
    Then every entry knows within 5 seconds that entry 2 is "draining"

  Scenario: A restarted entry replaces its former process
    Given 3 entries as processes of their own
    When entry 2 is killed and started again
    Then every process lists within 10 seconds only the new process of entry 2

  Scenario: Of two processes under one name the later one stays
    Given 3 entries in region "north" that talk to each other
    When a second process runs under the name of entry 2
    Then the earlier one is told within 10 seconds that it was replaced
    And every other entry knows within 10 seconds only its new process

  Scenario: A frozen entry is no longer listed, and is listed again when it runs on
    Given 4 entries as processes of their own
    When entry 4 is frozen
    Then the other entries list 3 live entries within 20 seconds
    When entry 4 runs on
    Then every process lists 4 live entries within 20 seconds
