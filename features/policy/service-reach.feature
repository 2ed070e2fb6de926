Feature: An entry doubts its links when several upstreams fall silent and none is heard from

  # Guards against an entry that takes single failures of upstreams for a loss of its links.
  Scenario: Two silent upstreams of twelve are no doubt
    Given a service of 12 upstreams
    When 2 upstreams fall silent
    Then the entry reaches it

  # Guards against an entry that sends on to upstreams none of which answers.
  Scenario: Three silent upstreams of twelve are
    Given a service of 12 upstreams
    When 3 upstreams fall silent
    Then the entry doubts that it reaches it
    But it isn't known to be lost

  # Guards against doubt of a cut in part, where one upstream still answers.
  Scenario: Any upstream that answers ends the doubt
    Given a service of 12 upstreams
    When 11 upstreams fall silent
    And one answers
    Then the entry reaches it

  # Guards against the same upstream that is counted for several.
  Scenario: One upstream that falls silent three times is no doubt
    Given a service of 12 upstreams
    When one upstream falls silent 3 times
    Then the entry reaches it

  # Guards against a service of one upstream that is never relayed.
  Scenario: The only upstream of a service is enough
    Given a service of 1 upstreams
    When 1 upstreams fall silent
    Then the entry doubts that it reaches it

  # Guards against requests that are refused for ever because nothing is tried any more.
  Scenario: A loss is known for three seconds, and one request is sent each two
    Given a service of 12 upstreams
    When 3 upstreams fail at 0 ms
    Then it is known to be lost at 2999 ms
    And it isn't known to be lost at 3000 ms
    And of requests each 100 ms for 6000 ms, 3 are sent to find out
