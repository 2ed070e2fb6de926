Feature: An upstream in warm-up gets no more than its rate from all entries together

  Background:
    Given a balancer on the platform
    And a configuration
    And entries in the availability zones "home-a, home-b, home-b"
    And workers "w1, w2"
    And upstreams in warm-up take 2 requests a second

  # Guards against entries that each send to a cold upstream, and against requests that are refused though others are warm.
  Scenario: What a cold upstream can't take goes to warm ones
    Given worker "w1" is announced as cold for 20000 ms
    When look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 7 of them
    And worker "w1" got at least 1 of them
    And all of them were answered
    And the log tells that "w1" is cold by "record"
    And each entry counts 1 upstreams in warm-up

  # Guards against a warm-up that only records can tell of.
  Scenario: An upstream becomes cold again and says so in its answers to load queries
    Given the workers name their warm-up
    When look-ups are sent to all entries for 1000 ms
    And worker "w1" becomes cold for 20000 ms
    And look-ups are sent to all entries for 500 ms
    And look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 7 of them
    And all of them were answered
    And the log tells that "w1" is cold by "load-query"

  # Guards against retries that pass by the rate.
  Scenario: Retries count
    Given worker "w1" is announced as cold for 20000 ms
    And worker "w2" "error"
    When look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 7 of them

  # Guards against hedges that pass by the rate.
  Scenario: Hedges count
    Given worker "w1" is announced as cold for 20000 ms
    And worker "w2" "slow"
    When look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 7 of them

  # Guards against requests that wait for a warm-up until their time is over, or crash the upstreams.
  Scenario: Requests are refused at once if all upstreams are cold
    Given worker "w1" is announced as cold for 20000 ms
    And worker "w2" is announced as cold for 20000 ms
    When look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 7 of them
    And worker "w2" got at most 7 of them
    And worker "w1" got at least 1 of them
    And the others were refused as not run within 300 ms, with when to come back
    And all refusals in the log have the reason "warming-up"

  # Guards against a warm-up that only a message ends.
  Scenario: A warm-up ends by itself
    Given worker "w1" is announced as cold for 1500 ms
    When look-ups are sent to all entries for 1800 ms
    And look-ups are sent to all entries for 2000 ms
    Then worker "w1" got at least 20 of them

  # Guards against a record that begins the warm-up anew each time it is read.
  Scenario: A record that is read again unchanged changes nothing
    Given worker "w1" is announced as cold for 1500 ms
    When look-ups are sent to all entries for 1800 ms
    And the announcement of "w1" is written again unchanged
    And look-ups are sent to all entries for 2000 ms
    Then worker "w1" got at least 20 of them

  # Guards against entries that take a process for warm that has just started, as its announcement is late or wrong.
  Scenario: A process that restarts under its id counts as cold until it says otherwise
    Given the workers name their warm-up
    When look-ups are sent to all entries for 500 ms
    And worker "w1" crashes and is cold for 20000 ms
    And look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 7 of them

  # Guards against an upstream in doubt that is never asked again by entries that hold no part of its rate.
  Scenario: An upstream that was cut off and is warm is used again by all entries
    Given the workers name their warm-up
    When look-ups are sent to all entries for 500 ms
    And worker "w1" crashes and is cold for 0 ms
    And look-ups are sent to all entries for 3000 ms
    And look-ups are sent to all entries for 2000 ms
    Then worker "w1" got at least 20 of them
    And worker "w1" got some of them from each entry

  # Guards against warm upstreams that stay in doubt as they never name a warm-up.
  Scenario: An upstream whose answers name nothing is used again after a whole warm-up
    When look-ups are sent to all entries for 500 ms
    And worker "w1" crashes and is cold for 0 ms
    And look-ups are sent to all entries for 4000 ms
    And look-ups are sent to all entries for 2000 ms
    Then worker "w1" got at least 20 of them

  # Guards against an upstream that gets nothing, or one request from each entry, when it joins.
  Scenario: An upstream that joins gets some requests within four seconds
    Given workers "w3" join that are cold for 20000 ms
    When look-ups are sent to all entries for 4000 ms
    Then worker "w3" got at least 1 of them
    And worker "w3" got at most 7 of them

  # Guards against configurations that only count for upstreams that join later.
  Scenario: A changed configuration counts at once
    Given worker "w1" is announced as cold for 60000 ms
    When look-ups are sent to all entries for 1000 ms
    Then worker "w1" got at most 4 of them
    When upstreams need no warm-up any more
    And look-ups are sent to all entries for 1000 ms
    And look-ups are sent to all entries for 2000 ms
    Then worker "w1" got at least 20 of them
    When upstreams in warm-up take 2 requests a second
    And look-ups are sent to all entries for 500 ms
    And look-ups are sent to all entries for 4000 ms
    Then worker "w1" got at most 7 of them
    And the log tells that "w1" is cold by "configuration"

  # Guards against upstreams that are taken for warm after a time in which nobody has asked them.
  Scenario: The upstreams of a zone count as cold after its evacuation
    Given a registry with a warm upstream in each of the zones "home-a, home-b"
    When the zone "home-a" is taken back from its evacuation
    Then 1 upstream of the registry counts as cold

  # Guards against a doubt that outlasts an answer, since that came on a connection opened to check the process.
  Scenario: An answer on a new connection ends a doubt
    Given a registry with a warm upstream that names its warm-up in answers
    When the zone "home-a" is taken back from its evacuation
    Then 1 upstream of the registry counts as cold
    When it answers a load query on a new connection
    Then 0 upstreams of the registry count as cold
