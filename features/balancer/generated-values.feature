Feature: Whatever others write, decoders refuse it or return values that can be used

  # Guards against a value that passes a decoder and fails where it is used, with nobody to catch it.
  Scenario Outline: Generated odd values are decoded: <message>
    When 3000 odd variants of the <message> are decoded
    Then none of them fails
    And what is taken can be used

    Examples:
      | message                   |
      | worker's record           |
      | configuration             |
      | entry's record            |
      | suspect's record          |
      | suspects of another entry |
      | statements on entries     |
      | question about an entry   |
      | limits of another entry   |
      | feed                      |
      | relayed request           |
      | relayed answer            |
      | load report of an upstream |
      | settings of a balancer    |
      | settings of an entry      |
      | member's row              |
      | departure's row           |
      | list of VMs               |
      | manifest's record         |
      | manifest                  |
      | headers of a worker       |

  # Guards against a record that is taken and then ends an entry, or hides those behind it.
  Scenario: Generated odd records are applied by an entry and those that follow it
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And entries in the availability zones "home-a, home-a"
    And what would end the process is recorded
    When 300 odd variants of records are written to the store
    And the configuration changes
    And look-ups are sent to all entries for 1500 ms
    Then nothing would have ended the process
    And all entries apply the newest configuration
