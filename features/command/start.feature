Feature: One command runs the product

  Scenario: One request of each kind is answered
    When "start.mjs --once" has run to its end
    Then it ended with status 0
    And it printed answers with status 200 to
      | request                                            |
      | look-up: GET http://<callers>/shop/cheeses/1       |
      | order: POST http://<callers>/shop/orders           |
      | photos: PUT http://<callers>/shop/photos/1         |

  Scenario Outline: A signal stops it without cutting off a request
    Given "start.mjs --free-ports" runs
    And an upload to it takes 2000 ms
    When it gets the signal <signal>
    Then the upload is answered with status 200
    And it ended with status 0

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |
