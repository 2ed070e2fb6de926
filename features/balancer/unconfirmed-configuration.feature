Feature: Only a configuration that is known to be the newest one denies requests

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1"

  # Guards against a 404 for a route that is there, by an entry that the store hasn't told of it: callers take it as final.
  Scenario Outline: A route that is added while the store is <fault> is refused as not run, and served once the store is back
    When the store is "<fault>" until the records are 2600 ms old
    And a route below "/added/" is added
    Then the look-up "/added/a" is refused as not run
    When the store is "none"
    Then the look-up "/added/a" is soon served

    Examples:
      | fault          |
      | down           |
      | silent-watches |

  # Guards against a start whose check of the revision fails, so that its records may be seconds old.
  Scenario: An entry that starts with unconfirmed records denies nothing
    When 3200 ms pass at the site
    And a route below "/added/" is added
    And the store's old reads are 3000 ms behind
    And the store is "swallowing"
    And all balancers are replaced
    Then the look-up "/added/a" is refused as not run

  # Guards against a 413 or 431 by limits of a configuration that was replaced.
  Scenario: What is over limits that may be outdated is refused as not run
    When the store is "down" until the records are 2600 ms old
    Then a look-up with a head over the limit is refused as not run
    And an order with a body over the limit is refused as not run

  # Guards against a valid key that is refused by an entry that doesn't know it yet.
  Scenario: A key that is added while the store is down is refused as not run
    Given client accounts, of which one has the key "first"
    When the store is "down" until the records are 2600 ms old
    And the account gets the key "second"
    Then the look-up "/read/a" with the key "second" is refused as not run
    And the look-up "/read/a" with the key "first" is answered 200

  # Guards against callers that ask again and again for what isn't there.
  Scenario: What has no route is denied while the store answers
    When 2600 ms pass at the site
    And the next watch of the store is cut
    Then the look-up "/added/a" is answered 404

  # Guards against denials by a configuration that operators have replaced by one that this entry can't read.
  Scenario: What has no route is refused as not run while a newer configuration can't be read
    When the store shows a configuration that can't be read
    Then the look-up "/added/a" is soon refused as not run
    When a route below "/added/" is added
    Then the look-up "/added/a" is soon served
