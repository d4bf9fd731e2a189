Feature: Operator pages
  Guards against a failing page that shows its internals or is not counted, and
  against callers that make a working page fail with unknown query fields,
  malformed forms or paths that reach internal methods.

  Background:
    Given operator pages behind an edge

  Scenario: A page answers through circuits.web
    When an operator requests "GET /sample"
    Then the page answers 200 with "sample page"

  Scenario: A page gets path, query and body
    When an operator posts "some text" to "/sample/echo/x?a=1&a=2"
    Then the page answers 200 with "x ['1', '2'] some text"

  Scenario: HEAD uses the GET page and sends no body
    When an operator requests "HEAD /sample"
    Then the page answers 200 with ""

  Scenario Outline: A request that no page serves is answered: <request>
    When an operator requests "<request>"
    Then the page answers <status> as problem+json
    And the pages count 0 failures

    Examples:
      | request                              | status |
      | GET /nothing                         | 404    |
      | DELETE /sample                       | 404    |
      | GET /sample/echo                     | 404    |
      | GET /sample/echo/a/b                 | 404    |
      | GET /sample/PUT                      | 404    |
      | GET /sample/registered               | 404    |
      | GET /sample/prepare_unregister_complete | 404 |
      | GET /sample/_hidden                  | 404    |
      | GET /%ff                             | 400    |
      | GET /sample/denied                   | 403    |

  Scenario: Unknown query fields and forms do not reach the page's arguments
    When an operator requests "GET /sample?unknown=1&self=2"
    Then the page answers 200 with "sample page"
    When an operator posts a malformed multipart form to "/sample/echo/x"
    Then the page answers 200 with "x [] broken form"
    And the pages count 0 failures

  Scenario Outline: A failing page gives a 500 and is counted: <page>
    When an operator requests "GET /sample/<page>"
    Then the page answers 500 as problem+json
    And the answer shows no traceback
    And the pages count 1 failures

    Examples:
      | page       |
      | crash      |
      | late_crash |
      | bad_body   |

  Scenario: A page that never answers times out
    When an operator requests "GET /sample/never"
    And 11 seconds pass at the pages
    Then the page answers 503 as problem+json
    And the pages count 1 failures

  Scenario: A refusal by the edge is problem+json
    When an operator sends the bytes "GET / HTTP/1.1\r\n\r\n"
    Then the page answers 400 as problem+json
    And the answer contains "malformed-request" and "not-run"

  Scenario: An error outside the pages is counted and not answered
    When a circuits handler elsewhere fails
    Then the pages count 1 failures
