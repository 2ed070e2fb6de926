Feature: The checks over a history find what breaks a promise, and nothing else

  Scenario: at-most-once: a key that ran once through a resend
    Given the history
      """
      0 attempt-sent key=k
      1 run-began key=k
      2 attempt-ended key=k end=broken status=null
      3 attempt-sent key=k attempt=2
      4 attempt-ended key=k attempt=2 run=run1
      """
    When the check "at-most-once" decides
    Then it finds nothing

  Scenario: at-most-once: an idempotent request that ran twice
    Given the history
      """
      0 attempt-sent rule=idempotent
      1 run-began run=run1
      2 run-began run=run2
      """
    When the check "at-most-once" decides
    Then it finds nothing

  Scenario: at-most-once: a key that ran twice
    Given the history
      """
      0 attempt-sent key=k
      1 run-began key=k run=run1 worker=w1
      2 run-began key=k run=run2 worker=w2
      """
    When the check "at-most-once" decides
    Then it finds "ran 2 times"

  Scenario: at-most-once: a key with two answers
    Given the history
      """
      0 attempt-sent key=k
      1 run-began key=k
      2 attempt-ended key=k run=run1 answerDigest=a
      3 attempt-ended key=k run=run1 answerDigest=b attempt=2
      """
    When the check "at-most-once" decides
    Then it finds "2 different answers"

  Scenario: not-run: a request that was refused and sent again
    Given the history
      """
      0 attempt-sent key=k
      1 attempt-ended key=k outcome=not-run status=503 retryAfterSeconds=1
      2 attempt-sent key=k attempt=2
      3 run-began key=k
      """
    When the check "not-run" decides
    Then it finds nothing

  Scenario: not-run: a refused resend while the first attempt is under way
    Given the history
      """
      0 attempt-sent key=k
      1 run-began key=k
      2 attempt-sent key=k attempt=2
      3 attempt-ended key=k attempt=2 outcome=not-run status=503 retryAfterSeconds=1
      4 attempt-ended key=k run=run1
      """
    When the check "not-run" decides
    Then it finds nothing

  Scenario: not-run: a request that had run
    Given the history
      """
      0 attempt-sent
      1 run-began
      2 attempt-ended outcome=not-run status=503 retryAfterSeconds=1
      """
    When the check "not-run" decides
    Then it finds "told not-run"

  Scenario: not-run: a request that ran after the answer
    Given the history
      """
      0 attempt-sent
      1 attempt-ended outcome=not-run status=503 retryAfterSeconds=1
      2 run-began
      """
    When the check "not-run" decides
    Then it finds "told not-run"

  Scenario: not-run: a resend of a key that an ended attempt had run
    Given the history
      """
      0 attempt-sent key=k
      1 run-began key=k
      2 attempt-ended key=k end=broken status=null
      3 attempt-sent key=k attempt=2
      4 attempt-ended key=k attempt=2 outcome=not-run status=503 retryAfterSeconds=1
      """
    When the check "not-run" decides
    Then it finds "told not-run"

  Scenario: not-run: a refusal that does not say when to come back
    Given the history
      """
      0 attempt-sent
      1 attempt-ended outcome=not-run status=503
      """
    When the check "not-run" decides
    Then it finds "without Retry-After"

  Scenario: whole-answer: the answer of its own run
    Given the history
      """
      0 attempt-sent
      1 run-began
      2 attempt-ended run=run1
      """
    When the check "whole-answer" decides
    Then it finds nothing

  Scenario: whole-answer: a broken transfer that is seen as one
    Given the history
      """
      0 attempt-sent
      1 run-began
      2 attempt-ended end=broken status=null isWhole=false
      """
    When the check "whole-answer" decides
    Then it finds nothing

  Scenario: whole-answer: a cut answer seen as complete
    Given the history
      """
      0 attempt-sent
      1 run-began
      2 attempt-ended run=run1 isWhole=false
      """
    When the check "whole-answer" decides
    Then it finds "taken for whole"

  Scenario: whole-answer: the answer to another request
    Given the history
      """
      0 attempt-sent
      1 run-began request=r2
      2 attempt-ended run=run1 answeredRequest=r2
      """
    When the check "whole-answer" decides
    Then it finds "the answer to r2"

  Scenario: whole-answer: the run of another body
    Given the history
      """
      0 attempt-sent requestDigest=mine
      1 run-began requestDigest=other
      2 attempt-ended run=run1
      """
    When the check "whole-answer" decides
    Then it finds "the run of another request"

  Scenario: leaving-upstream: work within the limit
    Given the history
      """
      0 leaving-told
      2900 work-received
      """
    When the check "leaving-upstream" decides
    Then it finds nothing

  Scenario: leaving-upstream: a signal that no answer has carried yet
    Given the history
      """
      0 leaving-told way=signal
      4000 work-received
      4100 run-ended
      5000 work-received
      """
    When the check "leaving-upstream" decides
    Then it finds nothing

  Scenario: leaving-upstream: work after the limit
    Given the history
      """
      0 leaving-told
      3100 work-received
      """
    When the check "leaving-upstream" decides
    Then it finds "received 1 requests later"

  Scenario: planned-stop: requests that end well while an entry stops
    Given the history
      """
      0 attempt-sent
      1 stop
      2 attempt-ended run=run1
      3 stop phase=ended status=0
      """
    When the check "planned-stop" decides
    Then it finds nothing

  Scenario: planned-stop: a broken transfer at an entry that was killed
    Given the history
      """
      0 attempt-sent
      1 fault fault=kill
      2 attempt-ended end=broken status=null
      """
    When the check "planned-stop" decides
    Then it finds nothing

  Scenario: planned-stop: a request that is cut off
    Given the history
      """
      0 attempt-sent
      1 stop
      2 attempt-ended end=broken status=null
      3 stop phase=ended status=0
      """
    When the check "planned-stop" decides
    Then it finds "cut off"

  Scenario: planned-stop: a refused caller with a fresh list
    Given the history
      """
      0 stop
      1 attempt-sent
      2 attempt-ended end=refused status=null
      3 stop phase=ended status=0
      """
    When the check "planned-stop" decides
    Then it finds "although the list was fresh"

  Scenario: planned-stop: an entry that ends badly
    Given the history
      """
      0 stop
      3 stop phase=ended status=1
      """
    When the check "planned-stop" decides
    Then it finds "ended with status 1"

  Scenario: manifest: a revision that spreads in time
    Given the history
      """
      0 submission-answered
      1000 revision-seen entry=e1
      6900 revision-seen entry=e2 revision=null
      8000 revision-seen entry=e2
      """
    When the check "manifest" decides
    Then it finds nothing

  Scenario: manifest: an entry that was frozen and follows after it
    Given the history
      """
      0 submission-answered revision=1
      10 revision-seen
      100 fault fault=freeze phase=begin
      200 submission-answered submission=s2 basedOn=1 revision=2
      9000 fault fault=freeze phase=end
      9100 revision-seen revision=1
      15000 revision-seen revision=2
      """
    When the check "manifest" decides
    Then it finds nothing

  Scenario: manifest: an entry that goes back
    Given the history
      """
      0 revision-seen revision=2
      1 revision-seen revision=1
      """
    When the check "manifest" decides
    Then it finds "went back from revision 2 to 1"

  Scenario: manifest: an entry that is late
    Given the history
      """
      0 submission-answered basedOn=1 revision=2
      7100 revision-seen revision=1
      """
    When the check "manifest" decides
    Then it finds "2 was due"

  Scenario: manifest: two winners of a race
    Given the history
      """
      0 submission-answered submission=s1
      1 submission-answered submission=s2
      """
    When the check "manifest" decides
    Then it finds "accepted for s1 and s2"

  Scenario: manifest: a loser that is not told the present revision
    Given the history
      """
      0 submission-answered answer=refused revision=null
      """
    When the check "manifest" decides
    Then it finds "without the present revision"

  Scenario: load-watch: a cut budget that came into force
    Given the history
      """
      0 budget-set requestsPerSecond=1
      1000 budget-set requestsPerSecond=0
      8000 load-read
      """
    When the check "load-watch" decides
    Then it finds nothing

  Scenario: load-watch: reads long after the budget was cut to nothing
    Given the history
      """
      0 budget-set requestsPerSecond=1
      1000 budget-set requestsPerSecond=0
      20000 load-read
      """
    When the check "load-watch" decides
    Then it finds "1 requests of 0"

  Scenario: load-watch: reads that are too large
    Given the history
      """
      0 budget-set bytesPerSecond=100
      1000 load-read bytes=2000
      """
    When the check "load-watch" decides
    Then it finds "2000 bytes of 600"

  Scenario: poison: a request that takes down two upstreams
    Given the history
      """
      0 crashed worker=w1
      1 crashed worker=w2
      2 attempt-ended status=503 outcome=not-run reason=quarantined
      """
    When the check "poison" decides
    Then it finds nothing

  Scenario: poison: a request that takes down three upstreams
    Given the history
      """
      0 crashed worker=w1
      1 crashed worker=w2
      2 crashed worker=w3
      """
    When the check "poison" decides
    Then it finds "took down 3"

  Scenario: poison: a quarantined request that crashed nothing
    Given the history
      """
      0 attempt-ended status=503 outcome=not-run reason=quarantined
      """
    When the check "poison" decides
    Then it finds "crashed nothing"

  Scenario: load-watch: reads within the budget
    Given a load read every 500 ms for 10000 ms under a budget of 2 a second
    When the check "load-watch" decides
    Then it finds nothing

  Scenario: load-watch: reads above the budget
    Given a load read every 250 ms for 10000 ms under a budget of 2 a second
    When the check "load-watch" decides
    Then it finds "requests of 12"
