@vm-list
Feature: The VM list is read as far as it can be

  Background:
    Given a VM list stand-in

  Scenario: Rows that cannot be read are findings, and the others are used
    Given the VM list is
      """
      {"vms": [
        {"name": "vm-1", "address": "192.0.2.1", "region": "north", "zone": "north-a", "role": "entry", "state": "live"},
        {"name": "vm-2", "address": "192.0.2.2", "region": "north", "zone": "north-a", "role": "captain", "state": "live"},
        {"name": "vm-1", "address": "192.0.2.3", "region": "north", "zone": "north-b", "role": "entry", "state": "live"},
        17
      ]}
      """
    When the VM list is read
    Then it names "vm-1"
    And its findings are at "vms[1].role, vms[2].name, vms[3]"

  Scenario: A change stays unseen while the list lags
    Given the VM list is
      """
      {"vms": [{"name": "vm-1", "address": "192.0.2.1", "region": "north", "zone": "north-a", "role": "entry", "state": "live"}]}
      """
    And the VM list lags by 3600000 ms
    When the VM list is read
    Then it names nothing
    When the VM list lags by 0 ms
    And the VM list is read
    Then it names "vm-1"

  Scenario: A list that is down is unreachable
    Given the VM list is down
    When the VM list is read
    Then the reading failed as "unreachable"

  Scenario: Nonsense from the list is a typed error
    When 300 nonsense lists are read with seed 12
    Then every reading failed as "malformed" or gave typed rows
