Feature: Operators ask an entry over HTTP

  Scenario: Every page is read through the client
    Given an operators' server
    When the operator reads every page
    Then every page is as the service tells it

  Scenario Outline: A submission is answered with its outcome
    Given an operators' server whose service answers a submission with "<outcome>"
    When the operator submits a manifest
    Then the operator is told "<outcome>" with status <status>

    Examples:
      | outcome          | status |
      | accepted         | 201    |
      | already-accepted | 200    |
      | superseded       | 409    |
      | rejected         | 422    |
      | unknown          | 503    |

  Scenario: Bad requests get problem documents
    Given an operators' server
    Then these requests are refused
      | method | path                | type             | body                                         | status | problem                          |
      | GET    | /v1/nothing         |                  |                                              | 404    | /problems/not-found              |
      | DELETE | /v1/manifest        |                  |                                              | 404    | /problems/not-found              |
      | POST   | /v1/manifest        | application/json | {                                            | 400    | /problems/bad-request            |
      | POST   | /v1/manifest        | application/json | {"body":"{}","basedOn":-1,"submission":"a"}  | 400    | /problems/bad-request            |
      | POST   | /v1/manifest        | application/json | {"body":"{}","basedOn":1,"submission":"a b"} | 400    | /problems/bad-request            |
      | POST   | /v1/manifest        | application/xml  | <manifest/>                                  | 415    | /problems/unsupported-media-type |
      | GET    | /v1/status/%E0%A4%A |                  |                                              | 400    | /problems/bad-request            |

  # Guards against an operator who is told that a submission was refused which is accepted.
  Scenario: Bytes that are no request get no answer before that to the submission before them
    Given an operators' server whose service takes 400 ms
    When the operator submits a manifest with bytes that are no request behind it
    Then the connection gets one answer, with status 201

  # Guards against an operator who is told that a proper request is malformed when its head is cut or too large.
  Scenario Outline: A head that <fault> is answered <status>
    Given an operators' server
    When the operator sends a head that <fault>
    Then the connection gets one answer, with status <status>

    Examples:
      | fault                   | status |
      | is too large            | 431    |
      | doesn't arrive in time  | 408    |
      | is no request           | 400    |

  Scenario: A manifest over the size limit is refused
    Given an operators' server
    When the operator submits a manifest of 700001 bytes
    Then the submission is refused with status 400
    When the operator submits a manifest of 1500000 bytes
    Then the submission is refused with status 413

  Scenario: A token guards every page
    Given an operators' server with the token "open sesame"
    When the operator reads the status with the token "open sesame"
    Then the status is read
    When the operator reads the status with the token "open sesam"
    Then the reading fails as "refused" with status 401
    When the operator reads the status without a token
    Then the reading fails as "refused" with status 401

  Scenario Outline: An address is refused
    Given an operators' server at "<address>"
    Then it does not listen and tells "<kind>"

    Examples:
      | address        | kind           |
      | 0.0.0.0:0      | token-required |
      | [::]:0         | token-required |
      | localhost:0    | bad-address    |
      | 127.0.0.1:9e9  | bad-address    |

  Scenario: Without a token a foreign host name is refused
    Given an operators' server
    Then a request that names the host "rebound.example" is refused with status 403

  Scenario: A failing service is answered and told to the entry
    Given an operators' server whose service fails
    When the operator reads the status without a token
    Then the reading fails as "refused" with status 500
    And the entry was told of the error

  Scenario: An entry that is not there
    Given no operators' server
    When the operator reads the status without a token
    Then the reading fails as "unreachable"

  Scenario: An entry that never answers
    Given an operators' server that never answers
    When the operator reads the status without a token
    Then the reading fails as "no-answer"
