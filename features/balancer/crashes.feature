Feature: A request that crashes its workers is soon refused by every entry, and no other request is

  Background:
    Given 3 balancers on the platform
    And a configuration
    And workers "w1, w2, w3, w4, w5, w6, w7, w8"

  # Guards against crashes that are counted for one client attempt alone, so that each send starts at zero.
  Scenario Outline: <what> that crashed three workers is refused, sent again to any entry
    Given "<line>" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    And it is sent 12 times more
    Then it reached workers at most 3 times more
    And it is refused as not run, with when to come back

    Examples:
      | what       | line              |
      | An order   | POST /write/crash |
      | A look-up  | GET /read/crash   |

  # Guards against knowledge of crashes that ends with the processes that saw them.
  Scenario: An entry that joins later refuses it
    Given "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    And another balancer joins
    And it is sent 12 times more
    Then it reached workers at most 3 times more

  # Guards against knowledge of crashes that is lost with all entries at once.
  Scenario: Entries that all start anew refuse it
    Given "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    And all balancers are replaced
    And it is sent 12 times more
    Then it reached workers at most 3 times more

  # Guards against crashes that are told to nobody because the store was away when they were seen.
  Scenario: What crashed workers while the store was away is refused once it is back
    Given the store is "down"
    And "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers
    When the store is "none"
    And 3000 ms pass at the site
    And it is sent 12 times more
    Then it reached workers at most 3 times more

  # Guards against a refusal of what only resembles the request, or ran beside it.
  Scenario: Requests that differ in their body, path or caller are served
    Given "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    Then every entry serves what differs from it in its path
    And the first entry sends on what differs from it in its body or its caller

  # Guards against look-ups that are blamed for what ran beside them.
  Scenario: Look-ups that were under way beside it are served when they are sent again
    Given every worker "slow"
    And "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers, each beside 6 look-ups
    When 3000 ms pass at the site
    Then each of these look-ups is served by every entry

  # Guards against a lost connection that is taken for a crash of the worker.
  Scenario: A request whose connection is reset by workers that live on is not refused
    Given every worker "resets"
    And "POST /write/a" is sent 12 times
    When every worker "answers"
    Then every entry serves "POST /write/a"

  # Guards against entries that can tell each other nothing but through the store.
  Scenario: Entries tell each other of it while the store is away
    Given the store is "down"
    And "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    And it is sent 12 times more
    Then it reached workers at most 3 times more

  # Guards against records that end with a lease before their time.
  Scenario: A record that vanishes from the store early is written again
    Given "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    And the store loses its records of suspects
    Then the store soon has records of suspects again

  # Guards against a quarantine that is forgotten by all entries that start after the store came back from an older copy.
  Scenario: Records that the store lost with its latest writes are written again, those of an ended entry too
    Given the store takes a copy
    And "POST /write/crash" is sent to the entries in turn until it has crashed 3 workers
    When 3000 ms pass at the site
    And the last balancer stops
    And the store comes back from that copy
    Then the store soon has as many records of suspects as before
    And the log has one "store.era" line of each balancer, with both eras and revisions
    When all balancers are replaced
    And it is sent 12 times more
    Then it reached workers at most 3 times more

  # Guards against an innocent request that stays a suspect for all entries but the one that got its answer.
  Scenario: A request that crashed a worker by chance is cleared for all by an answer
    Given "POST /write/crash" is sent to the entries in turn until it has crashed 1 worker
    When 3000 ms pass at the site
    And workers no longer crash at it
    And it is sent 1 time more
    Then no entry has a suspect soon

  # Guards against a record of another writer that ends an entry or its service.
  Scenario: A record that can't be read disturbs nothing
    When the store shows bytes that can't be read as a record of a suspect
    Then the log has a "suspect.unreadable" line
    And every entry serves "POST /write/a"

  # Guards against a request that crashes as many workers with each send as its route allows attempts, and against look-ups
  # that follow it from one worker to the next.
  Scenario: A look-up under which two workers crashed is left to its caller
    Given routes that allow 5 attempts
    When "GET /read/crash" is sent 1 time
    Then the workers got 2 requests in all

  # Guards against a store and a feed that fill with the records of innocent requests.
  Scenario: Records of suspects in the store are bounded, but for requests that crashed several workers
    Given an announcer of suspects
    When it announces 150 requests with one crash each, and then one with 2 crashes
    Then the store has at most 129 records of suspects, among them the last
