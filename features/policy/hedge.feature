Feature: A slow look-up is tried a second time elsewhere

  Scenario: The other upstream's answer is relayed while the first one stays silent
    Given a site of two entries in two availability zones
    And an operator has submitted its manifest to the first entry
    And the manifest is in force at every entry
    And 200 look-ups through the first entry are answered
    When the upstream "shop-1" answers only after every deadline
    Then 4 look-ups through the first entry are answered
