Feature: A read of the store in pages of different ages misses no change

  # Guards against a change for good missed because its page was older than the first one, by whose revision the read counts.
  Scenario: A change between an old page and a newer one is read
    Given a store whose second page is older than the first one
    When an entry starts to follow that store
    Then it knows the change that the old page lacks within 1500 ms
