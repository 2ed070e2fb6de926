@store
Feature: A manifest is accepted by one compare-and-swap, and its submitter learns what became of it

  Background:
    Given a store stand-in

  Scenario: Revisions rise by one
    When manifest "A" is submitted as "s1" based on 0
    Then the outcome is "accepted" at revision 1
    When manifest "B" is submitted as "s2" based on 1
    Then the outcome is "accepted" at revision 2
    And the store received 2 calls of kind "range"
    And the store received 2 calls of kind "transaction"
    And the store's manifest is "B" at revision 2

  Scenario: An answer that is lost after the write is settled by reading back
    Given the store is at fault by {"lostAnswers": 1}
    When manifest "A" is submitted as "s1" based on 0
    Then the outcome is "accepted" at revision 1
    And the store's history has 1 write

  Scenario: A lost answer is settled later, also when another revision has replaced it
    Given the store is at fault by {"lostAnswers": 1, "downAfterLostAnswer": "refused"}
    And the submitter gives up after 1 s
    When manifest "A" is submitted as "s1" based on 0
    Then the outcome is "unknown" after a write was sent
    Given the store is at fault by {}
    And the submitter gives up after 10 s
    When manifest "B" is submitted as "s2" based on 1
    Then the outcome is "accepted" at revision 2
    When manifest "A" is submitted as "s1" based on 0
    Then the outcome is "already-accepted" at revision 1
    And the store's manifest is "B" at revision 2

  Scenario: A stale reading never makes an accepted submission look refused
    Given manifest "A" is submitted as "s1" based on 0
    And manifest "B" is submitted as "s2" based on 1
    And the store is at fault by {"lostAnswers": 1, "downAfterLostAnswer": "refused"}
    And the submitter gives up after 1 s
    When manifest "C" is submitted as "s3" based on 2
    Then the outcome is "unknown" after a write was sent
    Given the store is at fault by {"staleRevision": 1}
    And the submitter gives up after 10 s
    When manifest "C" is submitted as "s3" based on 2
    Then the outcome is "already-accepted" at revision 3

  Scenario: A write that takes effect after its deadline is settled later
    Given the store is at fault by {"delayMs": 1500, "delayedCalls": ["transaction"]}
    And the submitter gives up after 1 s
    When manifest "A" is submitted as "s1" based on 0
    Then the outcome is "unknown" after a write was sent
    Given the store is at fault by {}
    And the submitter gives up after 10 s
    And the store's history has 1 write
    When manifest "A" is submitted as "s1" based on 0
    Then the outcome is "already-accepted" at revision 1
    And the store's history has 1 write

  Scenario: Nothing is written while the store is down, and that is said
    Given the store is at fault by {"down": "refused"}
    And the submitter gives up after 1 s
    When manifest "A" is submitted as "s1" based on 0
    Then the outcome is "unknown" before any write was sent
    Given the store is at fault by {}
    Then the store's history has 0 writes

  Scenario: Of two operators who race, exactly one wins and the other is told the present revision
    When two operators race 20 times
    Then in each race one was accepted and the other superseded by it

  Scenario: A submission that cannot follow what stands is told so
    When manifest "A" is submitted as "s1" based on 0
    And manifest "B" is submitted as "s2" based on 0
    Then the outcome is "superseded" by revision 1
    When manifest "B" is submitted as "s2" based on 7
    Then the outcome is "rejected" with "unknown-base"
    When manifest "B" is submitted as "s1" based on 1
    Then the outcome is "rejected" with "submission-reused"

  Scenario: A manifest is checked against its predecessor
    When manifest "A" is submitted as "s1" based on 0
    And manifest "A" with its orders made idempotent is submitted as "s2" based on 1
    Then the outcome is "rejected" with "at-most-once-weakened"

  Scenario: A manifest that the store could not hold is refused before it is sent
    When manifest "A" with 600000 quotation marks of comment is submitted as "s1" based on 0
    Then the outcome is "rejected" with "manifest-too-large"

  Scenario: A record that its readers would refuse is never written
    When manifest "A" with 750000 letters of comment is submitted as "s1" based on 0
    Then the outcome is "rejected" with "manifest-too-large"
    When manifest "A" is submitted as an identity of 129 letters based on 0
    Then the outcome is "rejected" with "bad-submission"
    And the store's history has 0 writes

  Scenario: A submission that is no longer remembered has an unknown outcome
    When 130 manifests are submitted one after another
    And the first of them is submitted again
    Then the outcome is "unknown" before any write was sent
    When the second of them is submitted again
    Then the outcome is "already-accepted" at revision 2

  Scenario: Nonsense from the store never stops a submission
    When 200 submissions are answered with nonsense of seed 13
    Then every outcome is typed
