Feature: The settings template of an entry

  # Guards against an entry that doesn't start since its platform names no tolerance of quotas, or since it names one.
  Scenario Outline: The settings are valid <whether> a tolerance of quotas
    When the settings template is filled in <whether> a tolerance of quotas
    Then the settings are valid
    And they have <tolerance> tolerance of quotas

    Examples:
      | whether | tolerance |
      | with    | a         |
      | without | no        |
