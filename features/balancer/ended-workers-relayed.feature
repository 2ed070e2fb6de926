Feature: A request that an entry has others send is suspected of ending its workers like any other

  # Guards against a request that ends workers by way of entries which send it for another one.
  Scenario Outline: A relayed request that ends its workers <ending> is refused after three
    Given 4 balancers on the platform with links of their own
    And a configuration
    And workers "w1, w2, w3, w4, w5, w6, w7, w8"
    And workers that are back as other ones after they ended
    And requests that end their workers "<ending>"
    And every entry knows the others
    And the links of entry 1 to all workers are "reset"
    And "POST /write/crash" is sent to entry 1 until it has crashed 3 workers
    When 3000 ms pass at the site
    And it is sent 12 times more
    Then it reached workers at most 3 times more

    Examples:
      | ending                     |
      | after a part of its answer |
      | after its caller left      |
