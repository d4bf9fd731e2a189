Feature: Strict HTTP edge
  A request that two servers parse differently lets bytes of one caller become
  part of another caller's request (request smuggling). Callers without limits
  on connections, bytes or time exhaust the entry's memory or descriptors.

  Background:
    Given an edge that answers each request at once

  Scenario Outline: An ambiguous or malformed request is refused: <case>
    When a caller sends the request "<request>"
    Then the caller gets the status 400 and the connection ends
    And the edge has 0 requests

    Examples:
      | case | request |
      | both length headers | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | differing lengths | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd |
      | repeated equal lengths | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc |
      | length list | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc |
      | negative length | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n |
      | signed length | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc |
      | other coding | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n |
      | coding list | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n |
      | repeated coding | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | coding in HTTP/1.0 | POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | folded line | GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n |
      | bare LF lines | GET / HTTP/1.1\nHost: a\n\n |
      | bare LF in a head | GET / HTTP/1.1\r\nHost: a\r\nA: b\nB: c\r\n\r\n |
      | lone CR | GET / HTTP/1.1\r\nHost: a\r\nA: b\rB: c\r\n\r\n |
      | space before colon | GET / HTTP/1.1\r\nHost : a\r\n\r\n |
      | no Host | GET / HTTP/1.1\r\nA: b\r\n\r\n |
      | two Hosts | GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n |
      | Host with a path | GET / HTTP/1.1\r\nHost: a/b\r\n\r\n |
      | absolute form | GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n |
      | authority form | CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n |
      | CONNECT to a path | CONNECT / HTTP/1.1\r\nHost: a\r\n\r\n |
      | fragment | GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n |
      | non-ASCII value | GET / HTTP/1.1\r\nHost: a\r\nB: \xe9\r\n\r\n |
      | non-ASCII target | GET /\xe9 HTTP/1.1\r\nHost: a\r\n\r\n |
      | NUL | GET / HTTP/1.1\r\nHost: a\r\nB: \x00\r\n\r\n |
      | empty first line | \r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n |
      | two spaces | GET  / HTTP/1.1\r\nHost: a\r\n\r\n |
      | HTTP/2.0 | GET / HTTP/2.0\r\nHost: a\r\n\r\n |
      | unknown expectation | GET / HTTP/1.1\r\nHost: a\r\nExpect: fee\r\n\r\n |
      | chunk size with a space | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n |
      | chunk size sign | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n |
      | chunk with bare LF | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n |
      | chunk longer than said | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n |
      | trailer with bare LF | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\n\r\n |
      | folded trailer | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n c\r\n\r\n |

  Scenario: Pipelined requests are answered in order, each with its own answer
    Given an edge with late answers
    When a caller sends 20 pipelined requests with chunked and plain bodies
    And the handler answers each request that it has, until none is left
    Then the caller gets 20 answers in the order of its requests

  Scenario: A long pipeline that is answered at once keeps its order
    When a caller sends 60 pipelined requests with chunked and plain bodies
    Then the caller gets 60 answers in the order of its requests

  Scenario: A long pipeline does not block other work of the loop
    When a caller sends 60 pipelined requests with chunked and plain bodies
    And the loop turns until the handler saw a request
    Then the edge has requests from 1 to 16

  Scenario: A request in progress has no time limit at the edge
    Given an edge with late answers
    When a caller sends the request "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    And 90 seconds pass at the edge
    And the handler answers each request that it has, until none is left
    Then the answer is "GET /a "

  Scenario: A caller that ends its side first gets its whole answer
    Given an edge with answer bytes = 8000000
    When a caller that does not read sends 1 requests
    And the caller ends its sending side
    Then the caller gets 1 whole answers

  Scenario Outline: A request over a limit is refused: <case>
    When a caller sends the request "<request>" with <filler> filler bytes
    Then the caller gets the status <status> and the connection ends
    And the edge has 0 requests

    Examples:
      | case | request | filler | status |
      | head never ends | GET / HTTP/1.1\r\nHost: a\r\nA: | 17000 | 431 |
      | declared body | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n | 200000 | 413 |
      | chunked body | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n | 200000 | 413 |
      | chunk extension | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1; | 300 | 413 |

  Scenario: Connections over the limits of one address get a refusal
    Given an edge with connections = 10, connections_per_address = 3
    When 5 callers connect to the edge
    Then 2 of the callers get the status 503 with "not-run"
    And the edge has 3 connections

  Scenario: Connections over the limit in all get a refusal
    Given an edge with connections = 4
    When 5 callers connect to the edge
    Then 1 of the callers get the status 503 with "not-run"

  Scenario: A request that is sent too slowly ends at its time limit
    When a caller sends one byte of a request every second, 12 times
    Then the caller gets the status 408 and the connection ends

  Scenario: An idle connection is closed without an answer
    When a caller sends the request "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    And 62 seconds pass at the edge
    Then the caller got 1 answers and the connection ends

  Scenario: Read-ahead is bounded while a request is in progress
    Given an edge with late answers
    When a caller sends a request and then as many bytes as the edge takes
    Then the edge has held bytes from 1 to 200000
    When the handler answers what it has and later requests at once
    Then the caller gets an answer to each whole request that it sent

  Scenario: Request bytes of all callers together are bounded
    Given an edge with held_bytes = 300000
    When 8 callers each send 100000 bytes of a longer body
    Then the edge has held bytes from 1 to 300000
    And 5 of the callers get the status 503 with "not-run"

  Scenario: A caller that does not read holds back its own requests
    Given an edge with answer bytes = 100000
    When a caller that does not read sends 100 requests
    Then the edge has requests from 1 to 89
    When 15 seconds pass at the edge
    Then the caller gets 100 whole answers

  Scenario: A caller that never reads is cut off at its time limit
    Given an edge with answer bytes = 8000000
    When a caller that does not read sends 1 requests
    And 32 seconds pass at the edge
    Then the edge has 0 connections
    And the edge has 0 buffered bytes

  Scenario: Unread answers of all callers together are bounded
    Given an edge with answer bytes = 8000000, buffered_bytes = 20000000
    When 6 callers that do not read send a request each
    Then the edge has buffered bytes from 1 to 20000000

  Scenario: A large answer reaches a caller that reads
    Given an edge with answer bytes = 8000000
    When a caller that does not read sends 1 requests
    Then the caller gets 1 whole answers

  Scenario: Expect gets its interim answer before the body
    When a caller sends the request "POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    Then the caller has received exactly "HTTP/1.1 100 Continue\r\n\r\n"
    When the caller goes on with "hi"
    Then the answer is "POST /e hi"

  Scenario: Expect with a body that is too large gets no interim answer
    When a caller sends the request "POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\nExpect: 100-continue\r\n\r\n"
    Then the caller gets the status 413 and the connection ends
    And the caller has received no "100 Continue"

  Scenario: HEAD gets the length and no body
    When a caller sends the request "HEAD /h HTTP/1.1\r\nHost: a\r\n\r\nGET /g HTTP/1.1\r\nHost: a\r\n\r\n"
    Then the answers to HEAD and GET are "" and "GET /g "

  Scenario: HEAD passes on a length that the handler states
    When a caller sends the request "HEAD /length HTTP/1.1\r\nHost: a\r\n\r\n"
    Then the answer to HEAD states the length 4321

  Scenario Outline: The connection ends after an answer: <case>
    When a caller sends the request "<request>"
    Then the caller got 1 answers and the connection ends

    Examples:
      | case | request |
      | HTTP/1.0 | GET /a HTTP/1.0\r\n\r\nGET /b HTTP/1.0\r\n\r\n |
      | Connection: close | GET /a HTTP/1.1\r\nHost: a\r\nConnection: foo, Close\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n |

  Scenario: A caller that disconnects cancels its request
    Given an edge with late answers
    When a caller sends the request "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n"
    And the caller disconnects
    Then the edge has 1 requests
    And the edge has 1 cancelled requests
    When the handler answers each request that it has, until none is left
    Then the edge has 1 requests

  Scenario: A failing handler gives a 500 without its error text
    When a caller sends the request "GET /crash HTTP/1.1\r\nHost: a\r\n\r\n"
    Then the caller gets a 500 with "may-have-run" and no traceback
    And the edge has 1 failures

  Scenario: A header with a line break is never sent
    When a caller sends the request "GET /split HTTP/1.1\r\nHost: a\r\n\r\n"
    Then the caller gets a 500 with "may-have-run" and no traceback
    And the edge has 1 failures

  Scenario: A drain cuts no request
    Given an edge with late answers
    When a caller sends the request "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    And a second caller sends half a request
    And a third caller is idle after an answer
    And a fourth caller is in the kernel's queue when the edge drains
    And the third and second caller complete a request during the drain
    And the handler answers each request that it has, until none is left
    Then each of the four callers has its last answer with "close"
    And a new caller is refused by the kernel
    And the edge has 1 drain reports

  Scenario: A drain serves the requests that were read ahead
    Given an edge with late answers
    When a caller sends 3 pipelined requests with chunked and plain bodies
    And the edge drains
    And the handler answers each request that it has, until none is left
    Then the caller gets 3 answers in the order of its requests
    And the caller got 3 answers and the connection ends

  Scenario: A drain closes idle connections after its grace
    When a caller sends the request "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    And the edge drains
    Then the edge has 1 connections
    When 2 seconds pass at the edge
    Then the caller got 1 answers and the connection ends
    And the edge has 1 drain reports

  Scenario: The edge serves inside the circuits loop
    When a caller process sends 200 requests to a running loop
    Then each of the 200 requests has its own answer
