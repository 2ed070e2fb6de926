Feature: A soak of real entries under faults judges what callers and workers saw

  Scenario: A seed gives the same schedule each time, with calm at its end
    When the schedule of seed 7 is drawn twice for 40000 ms
    Then both are the same
    And no act lasts into the last 8000 ms

  Scenario: A history without faults breaks nothing
    Given a history of requests that were served
    Then no check finds anything

  Scenario Outline: The check "<check>" finds that <what>
    Given a history of requests that were served
    And in it <what>
    Then the check "<check>" finds something, and no other does

    Examples:
      | check         | what                                                 |
      | twice         | an order ran at two workers                          |
      | refused       | an order was refused as not run and has run          |
      | mixed         | a look-up got half of its answer                     |
      | unasked       | a worker ran a request that nobody sent              |
      | route         | a look-up ran at a service without a route to it     |
      | drain         | a request reached a worker long after it left        |
      | configuration | a request ran by a configuration that was replaced   |
      | regress       | an entry went back to an older configuration         |
      | budget        | a hundred look-ups were sent twice                   |
      | crashes       | a request crashed workers on and on                  |
      | blamed        | a look-up was refused for ten minutes                |
      | gone          | requests reached workers long after their callers left |
      | lost          | a planned stop cut off a request                     |
      | listed        | a list named an entry that had stood still for long  |
      | limit         | a worker got far more than the limit that it named   |
      | reach         | an entry that was cut off served nobody              |
      | rest          | a worker that asked for rest got requests            |
      | left          | a worker that said it leaves got requests            |
      | evacuated     | a worker of an evacuated zone got a request          |
      | unfinished    | an order that a stopping entry took was broken off   |
      | recover       | nothing was served after the last fault              |
      | exits         | an entry ended by itself                             |

  # Guards against a judge that sees neither keys that leak or outlast their revocation, nor valid ones that are refused.
  Scenario Outline: With client accounts, the check "<check>" finds that <what>
    Given a history of requests that were served
    And with client accounts <what>
    Then the check "<check>" finds something, and no other does

    Examples:
      | check        | what                                             |
      | keys         | a request ran long after its key was revoked     |
      | keys         | a request ran long after a fault beside the revocation of its key |
      | keys         | a worker got a key                               |
      | keys         | a request ran on another account                 |
      | keys         | a request ran on no account                      |
      | unauthorized | a valid key was refused                          |
      | unauthorized | a key was refused though it had come long before |
      | refused      | a request that was answered 401 ran              |
      | quota        | an account ran more than its quota               |

  # Guards against a judge that counts what the bound of three seconds allows.
  Scenario Outline: It is no finding that <what>
    Given a history of requests that were served
    And with client accounts <what>
    Then no check finds anything

    Examples:
      | what                                            |
      | a request ran shortly after its key was revoked |
      | a revoked key was refused                       |
      | a new key was refused shortly after it came     |
      | an account ran as much as its quota allows      |

  # Guards against a judge that sees no 3xx or 4xx of an entry's own for proper requests.
  Scenario Outline: With changing routes, the check "denied" finds that <what>
    Given a history of requests that were served
    And with changing routes <what>
    Then the check "denied" finds something, and no other does

    Examples:
      | what                                                                  |
      | an entry in touch answered 404 on a route that came long before       |
      | an entry out of touch answered 404 on a route that was always there   |
      | an entry out of touch answered 404 on a route that it had long served |
      | a head at the limit of all versions was answered 431                  |
      | a body within a limit that rose long before was answered 413          |
      | a look-up was answered 400                                            |
      | a look-up was redirected                                              |

  # Guards against a judge that counts what a configuration that may be in force refuses.
  Scenario Outline: With changing routes, it is no finding that <what>
    Given a history of requests that were served
    And with changing routes <what>
    Then no check finds anything

    Examples:
      | what                                                                    |
      | 404 came shortly after its route was added                              |
      | 404 came shortly after its route was removed                            |
      | 404 came long after its route was removed                               |
      | 404 came for a route that never was                                     |
      | 404 came for a path whose route is on another host                      |
      | 404 came for a route without a service of positive weight               |
      | an entry out of touch answered 404 on a route that came meanwhile       |
      | an entry that was started answered 404 on a route that came long before |
      | 413 came shortly after the limit fell                                   |
      | a request was answered 421, 429 or 408                                  |
      | a worker answered 404                                                   |

  Scenario: A crashing request that reaches three workers late is no finding
    Given a history of requests that were served
    And in it a request crashed workers, and three more much later
    Then no check finds anything

  Scenario: A late request is no finding where its entry was cut off from the store
    Given a history of requests that were served
    And in it a request reached a worker long after it left
    And its entry was cut off from the store meanwhile
    Then no check finds anything

  Scenario: A request that a paused entry passes on late is no finding
    Given a history of requests that were served
    And in it requests reached workers long after their callers left
    And its entry was paused meanwhile
    Then no check finds anything

  Scenario: Bytes that a link delays arrive in order, though the delay falls
    Given a link that delays by 200 ms
    When a message is sent, the delay falls to 0 ms, and another message is sent
    Then both arrive in that order

  # Guards against a link that delivers a request after its sender has given it up, as no network does.
  Scenario Outline: Bytes that a silent link holds, and whose sender <ends>, <arrive>
    Given a link that delays by 0 ms
    When a message is sent while the link is "silent", its sender <ends>, and the link is open again
    Then the message <arrive>

    Examples:
      | ends                  | arrive         |
      | ends the connection   | arrives        |
      | resets the connection | doesn't arrive |

  Scenario: A short soak of real entries breaks nothing
    When the soak runs seed 1 for 20 s with 3 entries
    Then it reports no violations
