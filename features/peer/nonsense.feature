Feature: Nonsense from a peer changes nothing

  Scenario: Messages of random content are refused and counted
    Given 3 entries in region "north" that talk to each other
    When entry 1 is sent 1500 random messages of seed 43
    Then entry 1 still lists only the 3 entries and answers their exchanges
    And entry 1 has counted refusals

  Scenario: An entry whose clock runs an hour ahead is refused
    Given 3 entries in region "north" that talk to each other
    When an entry whose clock runs 1 hour ahead joins
    Then after 20 exchanges no entry lists it
    And entry 1 has counted refusals
