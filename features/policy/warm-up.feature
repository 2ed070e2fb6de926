Feature: The rate of an upstream in warm-up binds all entries together

  # Guards against a sum over all entries that grows with their number, and against a rate that is hardly used.
  Scenario Outline: <entries> eager entries keep a rate of <rate> a second
    Given <entries> entries and an upstream in warm-up that takes <rate> a second
    When all entries are eager for 10 s
    Then the worst second stays within the bound
    And in all 10 s the upstream got at least half of its rate
    And only entries of the upstream's zone sent anything

    Examples:
      | entries | rate |
      | 15      | 2    |
      | 15      | 50   |
      | 116     | 0.5  |
      | 116     | 2    |
      | 116     | 50   |
      | 312     | 2    |
      | 312     | 300  |

  # Guards against a share that is lost with its entry, and against one that two entries hold at the same time.
  Scenario Outline: One of the chosen entries of <entries> is lost
    Given <entries> entries and an upstream in warm-up that takes <rate> a second
    When all entries are eager for 4 s
    And a chosen entry is lost
    And all entries are eager for 1 s
    And the others learn of it at different times within 1500 ms
    And all entries are eager for 8 s
    Then the worst second stays within the bound
    And in the last 4 s the upstream got at least half of its rate

    Examples:
      | entries | rate |
      | 15      | 50   |
      | 116     | 2    |
      | 116     | 50   |
      | 312     | 50   |

  # Guards against two sides of a partition that each send the whole rate.
  Scenario Outline: Half of <entries> entries are cut off, <view>
    Given <entries> entries and an upstream in warm-up that takes <rate> a second
    When all entries are eager for 4 s
    And half of the entries are cut off, "<view>"
    And all entries are eager for 8 s
    Then the worst second stays within the bound

    Examples:
      | entries | rate | view                            |
      | 15      | 50   | and keep their older list       |
      | 116     | 2    | and keep their older list       |
      | 116     | 50   | and keep their older list       |
      | 312     | 200  | and keep their older list       |
      | 15      | 50   | and take the others for down    |
      | 116     | 2    | and take the others for down    |
      | 116     | 50   | and take the others for down    |
      | 312     | 200  | and take the others for down    |
      | 116     | 50   | and the upstream's zone is down |
      | 312     | 200  | and the upstream's zone is down |

  # Guards against entries that begin alone in their lists, each with the whole rate.
  Scenario Outline: <entries> entries are restarted at once
    Given <entries> entries and an upstream in warm-up that takes <rate> a second
    When all entries are eager for 4 s
    And all entries are restarted and learn of each other within 1500 ms
    And all entries are eager for 8 s
    Then the worst second stays within the bound
    And in the last 4 s the upstream got at least half of its rate

    Examples:
      | entries | rate |
      | 15      | 50   |
      | 116     | 2    |
      | 116     | 50   |
      | 312     | 2    |
      | 312     | 200  |

  # Guards against shares that overlap while entries learn of joins and losses at different times.
  Scenario Outline: Lists of <entries> entries differ while entries fall and join
    Given <entries> entries and an upstream in warm-up that takes <rate> a second
    When for 20 s an entry falls or joins each 500 ms and the others learn of it within 1500 ms
    Then the worst second stays within the bound

    Examples:
      | entries | rate |
      | 15      | 2    |
      | 15      | 50   |
      | 116     | 2    |
      | 116     | 50   |
      | 312     | 50   |

  # Guards against a bound that holds for one upstream at a time only.
  Scenario Outline: A whole zone of 12 upstreams is cold at once at <entries> entries
    Given <entries> entries and 12 upstreams in warm-up that take <rate> a second each
    When all entries are eager for 10 s
    Then the worst second stays within the bound
    And in the last 4 s each upstream got at least half of its rate

    Examples:
      | entries | rate |
      | 15      | 10   |
      | 116     | 10   |
      | 312     | 10   |

  # Guards against an upstream that nobody may use as its zone has no entry.
  Scenario Outline: The zone of the upstream has no entry that is up
    Given 116 entries and an upstream in warm-up that takes 10 a second
    When all entries in its <place> are lost and the others know it
    And all entries are eager for 8 s
    Then the worst second stays within the bound
    And in the last 4 s the upstream got at least half of its rate

    Examples:
      | place  |
      | zone   |
      | region |

  # Guards against bursts that are given anew whenever a warm-up begins.
  Scenario Outline: The upstream becomes cold again and again at <entries> entries
    Given <entries> entries and an upstream in warm-up that takes 4 a second
    When all entries are eager for 4 s
    And the upstream is said to be warm and cold again each 100 ms for 5 s
    Then the worst second stays within the bound

    Examples:
      | entries |
      | 15      |
      | 116     |
      | 312     |

  # Guards against a warm-up that goes on until somebody says that it is over.
  Scenario: A warm-up ends by itself
    Given 116 entries and an upstream that stays cold for 3 s more
    When all entries are eager for 2 s
    Then the worst second stays within the bound
    When 1001 ms of the warm-up go by
    Then every entry may send to the upstream

  # Guards against two limits of which the larger one is applied, and against bursts of the limit that the upstream names.
  Scenario Outline: The smaller one of the upstream's limit and its warm-up rate holds
    Given 116 entries and an upstream in warm-up that takes 10 a second
    And the upstream names a limit of <limit> a second
    When all entries are eager for 10 s
    Then the worst second stays within 1.5 times <smaller> and 8
    When the warm-up is over
    Then the limit of <limit> a second is applied

    Examples:
      | limit | smaller |
      | 3     | 3       |
      | 40    | 10      |

  # Guards against an upstream that is taken for warm by what was said before it may have restarted.
  Scenario: A doubt ends with the answer to a load query that was sent after it arose
    Given an upstream that is warm
    When it is in doubt whether it is cold
    And an answer names 0 ms left, to a query sent 10 ms before the doubt
    Then it counts as cold
    When an answer names 0 ms left, to a query sent 10 ms after the doubt
    Then it counts as warm

  # Guards against a warm upstream that nobody uses since its answers name nothing, and against a cold one that is used for the same reason.
  Scenario: Answers that never name a warm-up end a doubt after a whole warm-up
    Given an upstream that is warm
    When it is in doubt whether it is cold
    And an answer names nothing, to a query sent 10 ms after the doubt
    Then it counts as cold
    When 10001 ms of the warm-up go by
    Then it counts as warm

  # Guards against a warm upstream that stays cold for good, since its load queries are overdue more often than a warm-up lasts.
  Scenario: Load queries that are overdue again and again make an upstream wait for one warm-up only
    Given an upstream that is warm
    When a load query to it is overdue
    And an answer names nothing, to a query sent 10 ms after the doubt
    And 6000 ms of the warm-up go by
    And a load query to it is overdue
    And an answer names nothing, to a query sent 10 ms after the doubt
    Then it counts as cold
    When 4001 ms of the warm-up go by
    Then it counts as warm
    When a load query to it is overdue
    Then it counts as cold
    When an answer names nothing, to a query sent 10 ms after the doubt
    Then it counts as warm

  # Guards against a restarted upstream that is taken for warm since an earlier warm-up was waited out.
  Scenario: A cause that can mean a restart begins a whole warm-up again
    Given an upstream that is warm
    When it is in doubt whether it is cold
    And an answer names nothing, to a query sent 10 ms after the doubt
    And 6000 ms of the warm-up go by
    And it is in doubt whether it is cold
    And a load query to it is overdue
    And an answer names nothing, to a query sent 10 ms after the doubt
    And 9900 ms of the warm-up go by
    Then it counts as cold
    When 101 ms of the warm-up go by
    Then it counts as warm

  # Guards against a warm-up that begins with an answer which the process before a restart gave.
  Scenario: A silent answer to a query sent before the doubt begins no warm-up
    Given an upstream that is warm
    When it is in doubt whether it is cold
    And an answer names nothing, to a query sent 10 ms before the doubt
    Then no end of its warm-up is known
    And it counts as cold

  # Guards against a cold upstream that is taken for warm by a silent answer.
  Scenario: An answer that names nothing leaves what the record says, unless an earlier one named it
    Given an upstream whose record says that it is cold for 5000 ms
    When an answer names nothing, to a query sent 0 ms after the doubt
    Then it counts as cold
    When an answer names 4000 ms left, to a query sent 0 ms after the doubt
    And an answer names nothing, to a query sent 0 ms after the doubt
    Then it counts as warm

  # Guards against a record that was written before an answer and is read after it.
  Scenario: The newer word holds
    Given an upstream whose record says that it is cold for 1000 ms
    When an answer names 9000 ms left, to a query sent 0 ms after the doubt
    And 1500 ms of the warm-up go by
    And its record says that it is cold for 0 ms
    Then it counts as cold
    When 1500 ms of the warm-up go by
    And its record says that it is cold for 0 ms
    Then it counts as warm
    When its record says that it is cold for 3000 ms
    Then it counts as cold

  # Guards against doubts that cost services without warm-up anything.
  Scenario: A service without warm-up has no cold upstreams
    Given an upstream whose record says that it is cold for 5000 ms
    When its service has no warm-up any more
    And it is in doubt whether it is cold
    Then it counts as warm

  # Guards against former lists of entries that are held for good where no upstream is in warm-up, so that nothing reads them.
  Scenario: Former lists of entries are dropped without a reader
    When 1000 lists of entries are applied, one each 250 ms
    Then 8 former lists are held

  # Guards against a division that hashes all entries with each request, since two limits are asked for in turn.
  Scenario: The division for two limits is computed once for each
    Given lists that count how often they are read
    When the shares of limits 10 and 3 are asked for in turn, 100 times
    Then the lists were read 2 times
