Feature: A hang-up while an entry starts doesn't end it

  # Guards against an entry that ends on a signal for changed settings, since it comes before the entry has read its settings.
  Scenario: The bundled entry takes hang-ups before it reads its settings
    Given the bundled entry without settings
    When it has loaded and has read nothing yet
    Then it takes hang-ups
