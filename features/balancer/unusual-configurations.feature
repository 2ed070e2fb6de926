Feature: A valid configuration is in force, however unusual its values are

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    And what would end the process is recorded

  # Guards against a configuration that operators wrote, that the store took, and that no entry ever applies.
  Scenario Outline: <value> is taken
    When the configuration changes to one with <value>
    Then the newest configuration is in force within 2000 ms
    And nothing would have ended the process
    When look-ups are sent to all entries for 200 ms
    Then all look-ups were served

    Examples:
      | value                               |
      | a time-out of 0.75s                 |
      | a time-out of 1500.5ms              |
      | a time-out of 30 days               |
      | a time-out of 400 digits            |
      | no time-out                         |
      | no target latency                   |
      | no priority                         |
      | no maximum of attempts              |
      | 1000000 attempts                    |
      | weights that are fractions          |
      | a weight of zero                    |
      | fields that nobody knows            |
      | a kind that nobody knows            |
      | a route of a service without worker |
      | a route named __proto__             |
      | a body limit of a petabyte          |
      | a host in capital letters           |
