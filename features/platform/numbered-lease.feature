@store
Feature: Never more processes hold a numbered slot than there are slots

  Rule: A holder judges by its own clock

    Background:
      Given an embedded store with leases of 10 s and a margin of 1 s

    Scenario: A holder that was paused beyond its lease sees no slot at once
      Given holders "a" and "b" for 1 slot
      When "a" steps
      Then "a" holds slot 0 in its term 1
      When 9.5 s pass
      Then "a" holds no slot
      And the slots in the store are "a"
      When 1 s passes
      And "b" steps
      Then "b" holds slot 0 in its term 1
      When "a" steps
      Then "a" holds no slot
      And the slots in the store are "b"

    Scenario: A renewal counts from before it was sent
      Given holders "a" and "b" for 1 slot
      And "a" steps
      When a renewal of "a" takes 8 s
      And 0.5 s pass
      Then "a" holds slot 0 in its term 1
      When 1 s passes
      Then "a" holds no slot

    Scenario: A slot that is acquired again begins a new term
      Given holders "a" and "b" for 1 slot
      And "a" steps
      When 11 s pass
      And "a" steps
      Then "a" holds slot 0 in its term 2

    Scenario: A cut of the slots counts at once, and a rise once it is settled
      Given holders "a" and "b" for 2 slots
      And "a" steps
      And "b" steps
      When the slots are cut to 1 for everyone
      Then 1 of the holders holds a slot
      And one slot is a share of 2
      When the slots are raised to 4 for everyone
      And everyone steps
      Then 1 of the holders holds a slot
      And one slot is a share of 4
      When the rise to 4 is settled for everyone
      And everyone steps
      Then 2 of the holders hold a slot
      And one slot is a share of 4

    Scenario: A settled count is gone by only after its time to settle
      Given a count of slots settles in 30 s
      And holders "a" and "b" for 2 slots
      When everyone steps
      Then 0 of the holders hold a slot
      When 30 s pass
      And everyone steps
      Then 2 of the holders hold a slot

    Scenario: However counts change and processes pause, the shares stay within the whole
      When 300 schedules of counts, steps and pauses are run with seed 15
      Then in none of them do the shares exceed the whole, and in most they reach half of it

    Scenario: More holders than slots
      Given holders "a" to "g" for 4 slots
      When everyone steps
      And everyone steps
      Then 4 of the holders hold a slot
      When one holder gives its slot back
      And everyone steps
      And everyone steps
      Then 4 of the holders hold a slot

  Rule: The store may fail at any call

    Background:
      Given a store stand-in
      And leases of 10 s with a margin of 1 s

    Scenario: The slot lapses in an outage and is found again after it
      Given holders "a" and "b" for 1 slot
      And "a" steps
      When the store is at fault by {"down": "refused"}
      And 8 s pass
      And "a" steps
      Then "a" holds slot 0 in its term 1
      When 2 s pass
      And "a" steps
      Then "a" holds no slot
      When the store is at fault by {}
      And "a" steps
      Then "a" holds slot 0 in its term 2

    Scenario: A lost answer never costs a second slot
      Given holders "a" and "b" for 3 slots
      And the store is at fault by {"lostAnswers": 1}
      When "a" steps
      Then "a" holds no slot
      When "a" steps
      Then "a" holds a slot
      And the slots in the store are "a"

    Scenario: A lease that lapsed at the store is noticed at the next step
      Given holders "a" and "b" for 1 slot
      And "a" steps
      When every lease lapses
      And "b" steps
      Then "b" holds slot 0 in its term 1
      When "a" steps
      Then "a" holds no slot

    Scenario: A process that was frozen while its lease lapsed wakes without a slot
      Given processes "p" and "q" for 1 slot with leases of 2 s
      And process "p" holds the slot
      When process "p" is frozen
      Then process "q" holds the slot
      When process "p" is resumed
      And process "p" gives 50 further readings
      Then at no time did both hold the slot
