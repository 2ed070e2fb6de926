Feature: Bytes without end from an upstream take bounded time and memory

  # The smallest VMs of entries have 250 MB; answers of an upstream in trouble may take half of it.
  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"

  # Guards against an upstream that fills the memory of an entry by answers that never end.
  Scenario Outline: The <part> without end from one upstream harms no caller
    Given worker "w1" "<script>" and is the least busy
    When 8 look-ups are sent at the same time
    Then all look-ups are answered by "w2" within 1000 ms
    And the entry held at most 125 MiB of answers

    Examples:
      | part                        | script                |
      | head                        | endless-head          |
      | informational answer        | endless-informational |
      | body with a signature       | endless-body          |
      | body without one            | endless-unsigned      |
      | chunk extension             | endless-extension     |

  # Guards against an answer that takes little on the wire and fills the heap, as each chunk is a buffer of its own, and
  # against the time that the entry spends on its chunks while other callers wait.
  Scenario Outline: Answers in <chunks> from one upstream take bounded heap, and other callers don't wait for them
    Given worker "w1" "<script>" and is the least busy
    When 60 look-ups are sent at the same time, and the entry is asked whether it is ready meanwhile
    Then the heap of the entry grew by at most 64 MiB
    And it said so within 250 ms each time

    Examples:
      | chunks                      | script              |
      | 50,000 chunks of one byte   | tiny-chunks         |
      | 40,000 chunks of 16 bytes   | small-chunks        |
      | endless chunks of one byte  | endless-chunks      |
      | endless chunks of load      | endless-load-chunks |

  # Guards against a caller whose body takes little on the wire and fills the heap.
  Scenario: Uploads in chunks of one byte take bounded heap
    When 40 uploads in 16000 chunks of one byte are begun and not ended
    Then the heap of the entry grew by at most 64 MiB
    And it said so within 250 ms each time

  # Guards against uploads within the limit that together exceed the memory of the VM (LOST).
  Scenario: Uploads that find no memory are refused as not run, and the first ones are served
    Given a configuration that allows bodies of 40000000 bytes
    When 6 uploads of 40000000 bytes are sent at the same time
    Then 2 of them are answered 200 and the others are refused as not run, with when to come back

  # Guards against memory that uploads hold which never end.
  Scenario: The memory of an upload that is broken off is given back
    Given a configuration that allows bodies of 40000000 bytes
    When 6 uploads that declare 40000000 bytes are broken off one after the other
    And 2 uploads of 40000000 bytes are sent at the same time
    Then 2 of them are answered 200 and the others are refused as not run, with when to come back

  # Guards against a request that may not be repeated and holds its memory until its time is over.
  Scenario: Orders at an upstream whose body never ends are given up with bounded memory
    Given worker "w1" "endless-body" and is the least busy
    And worker "w2" "endless-body"
    When 24 orders are sent at the same time
    Then all of them end within 1500 ms without a success
    And the entry held at most 125 MiB of answers

  # Guards against load queries, which no caller waits for, that collect a body without end.
  Scenario: A load query whose answer never ends is given up
    Given worker "w1" "endless-load" and is the least busy
    When 8 look-ups are sent at the same time
    Then all look-ups are answered within 1000 ms
    And the entry held at most 8 MiB of answers
