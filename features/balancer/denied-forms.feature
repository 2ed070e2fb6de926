Feature: A proper request is served, however unusual its form is

  Background:
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"

  # Guards against requests in unusual but valid forms that are answered 4xx.
  Scenario: Valid requests are served whole and in pieces
    When requests of each valid form are sent whole and in pieces of 1, 7 and 64 bytes
    Then each of them was answered 200

  # Guards against a body that is read as the head of the next request, which is answered 400.
  Scenario: Requests behind an order that was refused before its body are served
    When look-ups are sent behind the bodies of orders that have no route
    Then the orders were answered 404, and the look-ups 200

  # Guards against a 404 for a route that is there, because the target names its host (RFC 9112, section 3.2.2).
  Scenario: A target in absolute form is served
    When a look-up with the target "http://shop.example/read/a" is sent to the host "shop.example"
    Then each of them was answered 200

  # Guards against a 404 for a route that is there, because the port behind the host is empty (RFC 3986, section 6.2.3).
  Scenario: A host with an empty port is served
    When a look-up with the target "/read/a" is sent to the host "shop.example:"
    Then each of them was answered 200

  # Guards against a 404 on a route that is there, which callers don't send again, because none of its services takes requests now.
  Scenario: A route whose services all have the weight 0 isn't taken for none
    Given a route whose services all have the weight 0
    And the newest configuration is in force within 2000 ms
    When a look-up with the target "/read/weightless/a" is sent to the host "shop.example"
    Then each of them was answered 503

  # Guards against a 431 for a head that callers count as within the limit, which isn't said to include the request line.
  Scenario Outline: A look-up is served whose <counted> as long as the limit
    When a look-up is sent whose <counted> as long as the limit
    Then each of them was answered 200

    Examples:
      | counted                 |
      | whole head is           |
      | header fields alone are |
