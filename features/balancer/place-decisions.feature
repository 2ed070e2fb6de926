Feature: Where requests may be served is decided by regions and evacuations

  Background:
    Given zones "home-a, home-b" of "home" and "away-a" of "away"

  # Guards against upstreams that are used outside the allowed regions, or in an evacuated zone.
  Scenario Outline: An upstream in <zone>, with <regions> allowed and <evacuated> evacuated
    Given the zones "<evacuated>" have evacuation records
    Then an upstream in "<zone>" <may> be used with the regions "<regions>" allowed

    Examples:
      | zone   | regions    | evacuated      | may     |
      | home-a | any        |                | may     |
      | home-a | home       |                | may     |
      | away-a | home       |                | may not |
      | away-a | home, away |                | may     |
      | other  | any        |                | may     |
      | other  | home       |                | may not |
      | home-a | none       |                | may not |
      | home-a | any        | home-a         | may not |
      | home-b | any        | home-a         | may     |
      | home-b | home       | home-a, home-b | may not |
      | other  | any        | other          | may     |

  # Guards against refusals that blame regions for an evacuation, or either of them for a lack of upstreams.
  Scenario Outline: Upstreams in "<upstreams>", with <regions> allowed and <evacuated> evacuated
    Given the zones "<evacuated>" have evacuation records
    Then with upstreams in "<upstreams>" and the regions "<regions>" allowed, the obstacle is "<obstacle>"

    Examples:
      | upstreams      | regions | evacuated      | obstacle            |
      | home-a         | any     |                | none                |
      |                | home    | home-a         | none                |
      | home-a, away-a | home    |                | none                |
      | away-a         | home    |                | no-allowed-upstream |
      | home-a, home-b | any     | home-a         | none                |
      | home-a, home-b | any     | home-a, home-b | evacuated           |
      | home-a, away-a | home    | home-a         | evacuated           |
      | away-a         | home    | away-a         | no-allowed-upstream |

  # Guards against refusals that tell of limits of upstreams to which the request may not be sent.
  Scenario Outline: An upstream <home> in home, one <away> in away, and <regions> allowed
    Given an upstream in "home-a" that is <home>
    And an upstream in "away-a" that is <away>
    Then with the regions "<regions>" allowed, the service is <limited> and <warming>

    Examples:
      | home       | away       | regions | limited     | warming        |
      | without limit | in warm-up | home    | not limited | not warming up |
      | without limit | in warm-up | any     | limited     | warming up     |
      | in warm-up | limited    | home    | limited     | warming up     |
      | in warm-up | limited    | any     | limited     | not warming up |
      | limited    | in warm-up | home    | limited     | not warming up |

  # Guards against a zone that stays evacuated, or is taken back without a word to those who treat it as cold.
  Scenario: Evacuations follow the records
    Given the zones "home-a, home-b, other" have evacuation records
    Then the zones "home-a, home-b" are evacuated
    When a complete read holds the evacuation records "home-b"
    Then the zones "home-b" are evacuated
    And the zones "home-a" were taken back
    When a complete read holds the evacuation records ""
    Then the zones "" are evacuated
    And the zones "home-a, home-b" were taken back

  # Guards against a record that is passed over for good because the settings came later.
  Scenario: Changed settings name the zone of a record
    Given the zones "other" have evacuation records
    When the settings name the zone "other"
    Then the zones "other" are evacuated

  # Guards against upstreams that get a request because their zone was evacuated after they were selected.
  Scenario Outline: The zone is checked again when a request is sent: <evacuated>
    Given an upstream in "home-a" is selected
    And the zones "<evacuated>" have evacuation records
    When the request is sent to it
    Then it takes <connections> connections

    Examples:
      | evacuated | connections |
      | home-a    | 0           |
      | home-b    | 1           |

  # Guards against an evacuation that comes while load reports are awaited, and holds from the next request on only.
  Scenario Outline: The zone is checked again after load reports were awaited: <evacuated>
    When "<evacuated>" is evacuated while the load of an upstream in "home-a" is queried
    Then <selected> is selected

    Examples:
      | evacuated | selected      |
      | home-a    | no upstream   |
      | home-b    | that upstream |

  # Guards against lists of entries that follow one route and lead the callers of another one astray.
  Scenario Outline: Routes of one host that allow <lists>
    Then a host whose routes allow "<lists>" is served in "<regions>"

    Examples:
      | lists                       | regions |
      | any                         | any     |
      | home                        | home    |
      | home; any                   | home    |
      | home, away; away            | away    |
      | home, away; any; away, home | home, away        |
      | home; away                  | none    |
