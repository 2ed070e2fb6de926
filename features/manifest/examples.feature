Feature: The examples are complete and accepted

  Scenario Outline: The command line accepts <example>
    When the operator runs "manifest check examples/<example>/manifest.jsonc"
    Then the exit status is 0
    When the operator runs "settings check examples/<example>/entry.jsonc"
    Then the exit status is 0

    Examples:
      | example    |
      | blue-mahoe |
      | vanhecke   |
      | small      |

  Scenario Outline: <example> has the sizes of today
    Given the example "<example>"
    Then its preference is "<preference>" and its entries are at most 19
    And its regions of two availability zones each are "<regions>"
    And every availability zone has workers of every service
    And its services are "<services>"
    And its workers have <slots> slots and <connections> connections

    Examples:
      | example    | preference | regions                          | services                                             | slots | connections |
      | blue-mahoe | tail-first | kingston, montego, mandeville    | catalogue 12, checkout 12, farm-uploads 12           | 4     | 200         |
      | vanhecke   | cost-first | oostende, zeebrugge, nieuwpoort  | repair-status 16, slot-booking 12, photo-archive 14  | 3     | 250         |

  Scenario Outline: <method> <path> is <kind>
    Given the example "<example>"
    Then <method> "<path>" is of the kind "<kind>"

    Examples:
      | example    | method | path                               | kind         |
      | blue-mahoe | GET    | /catalogue/cheeses/7               | idempotent   |
      | blue-mahoe | GET    | /catalogue/delivery-windows        | idempotent   |
      | blue-mahoe | POST   | /checkout/orders                   | at-most-once |
      | blue-mahoe | POST   | /checkout/charges                  | at-most-once |
      | blue-mahoe | PUT    | /farm-uploads/photo-batches/3      | bulk         |
      | blue-mahoe | POST   | /farm-uploads/tasting-notes        | bulk         |
      | vanhecke   | GET    | /repair-status/nets/7              | idempotent   |
      | vanhecke   | POST   | /repair-status/harbour-queries     | idempotent   |
      | vanhecke   | POST   | /slot-booking/bookings             | at-most-once |
      | vanhecke   | PUT    | /photo-archive/hull-photos/9       | bulk         |
