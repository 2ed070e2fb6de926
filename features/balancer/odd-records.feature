Feature: One odd record in the store ends no entry and hides no other record

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And what would end the process is recorded

  # Guards against an entry that ends on an odd record among those of the workers, again after each start.
  Scenario Outline: An odd record of a worker: <oddity>
    When another writer leaves a worker's record with <oddity>
    And the configuration changes
    And look-ups are sent to all entries for 600 ms
    Then all look-ups were served
    And nothing would have ended the process
    And the newest configuration is in force within 2000 ms
    And the log has an "upstream.unreadable" line for the odd record

    Examples:
      | oddity                        |
      | port 99999                    |
      | port 65536                    |
      | port 0                        |
      | no port                       |
      | a name as port                |
      | address 999.1.1.1             |
      | address 0.0.0.0               |
      | an array 200000 deep          |
      | an object 100000 deep         |
      | sequence 1e999                |
      | the largest sequence          |
      | a negative sequence           |
      | a sequence of 100000 digits   |
      | the largest number of slots   |
      | a warm-up of 400 digits       |
      | a start in a thousand years   |
      | a start before 1970           |
      | bytes that are no text        |
      | nothing in it                 |
      | null                          |
      | three megabytes               |

  # Guards against an entry that ends on an odd announcement of an entry, and against callers that are sent there.
  Scenario Outline: An odd record of an entry: <oddity>
    When another writer leaves an entry's record with <oddity>
    And the configuration changes
    And look-ups are sent to all entries for 2500 ms
    Then all look-ups were served
    And nothing would have ended the process
    And the newest configuration is in force within 2000 ms
    And the odd entry is not named to callers
    And the log has an "entry.unreadable" line for the odd record

    Examples:
      | oddity                     |
      | address port 99999         |
      | feed port 99999            |
      | address 999.1.1.1          |
      | feed port 0                |
      | the largest sequence       |

  # Guards against followers that end on what another entry has read.
  Scenario: An odd record reaches the entries that follow another one
    Given entries in the availability zones "home-a, home-a, home-a"
    When another writer leaves a worker's record with port 99999
    And another writer leaves an entry's record with feed port 99999
    And the configuration changes
    And look-ups are sent to all entries for 2500 ms
    Then all look-ups were served
    And nothing would have ended the process
    And all entries apply the newest configuration

  # Guards against a number too large that makes all later announcements of a sound worker older.
  Scenario: A worker whose record was replaced by an odd one can still say that it leaves
    Given worker "w2" "error"
    When another writer replaces the record of "w1" with the largest sequence
    And worker "w1" announces itself again
    And look-ups are sent to all entries for 500 ms
    Then worker "w1" got at least 1 of them
    When worker "w1" announces that it drains
    And look-ups are sent to all entries for 500 ms
    Then worker "w1" got at most 0 of them

  # Guards against a record whose decoding or application fails and that stops the watch, so that all later ones are missed.
  Scenario: A record that fails hides none of those behind it
    When the next record that an entry applies fails
    And the configuration changes
    Then nothing would have ended the process
    And the newest configuration is in force within 2000 ms
    And the log has a "record.failed" line

  # Guards against followers that miss what is behind a record that fails at the entry they follow, or at themselves.
  Scenario: A record that fails at one entry hides nothing from those that follow it
    Given entries in the availability zones "home-a, home-a, home-a"
    When the next record that an entry applies fails
    And the configuration changes
    Then nothing would have ended the process
    And all entries apply the newest configuration
    And the log has a "record.failed" line
