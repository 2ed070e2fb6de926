Feature: The page for operations tells what the entries on the platform tell

  Scenario: Every event is described, and no other
    Then the events of the operations page are those of the code

  Scenario: Every metric of a balancer is described, and no other
    Then the metrics of the operations page are those of the code
