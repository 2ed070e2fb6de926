Feature: The operators' page tells what is there

  Scenario: Every metric is described, and no other
    Then the metrics of the operators' page are those of the code

  Scenario: Every log line is described, and no other
    Then the log lines of the operators' page are those of the code

  Scenario: Every setting is described, and no other
    Then the settings of the operators' page are those of the schema

  Scenario: A newcomer's first manifest is accepted
    Then the manifest in the README has no findings
