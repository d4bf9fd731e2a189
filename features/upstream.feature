Feature: Requests to a minion
  A wrong verdict on an attempt duplicates or loses work: "not run" must be true,
  and an answer must be complete and belong to its request. Late, broken or
  crossed answers and reused connections that are closing can violate this.

  Background:
    Given a minion with 8 slots and an upstream to it

  Scenario: An answer comes back whole and without control headers
    When the upstream sends POST "/work" with the body "hello"
    Then the upstream outcome is ResponseReceived with the body "hello"
    And the answer has "minion" but none of "x-request-id, x-execution, connection"

  Scenario: Control and hop-by-hop headers of a caller do not reach the minion
    Given a recording server in place of the minion
    When the upstream sends a request with forged and hop-by-hop headers
    Then the recording server saw only the upstream's own control headers
    And the recording server saw "accept, idempotency-key, x-forwarded-for"

  Scenario: The length that a HEAD states comes back
    Given a recording server in place of the minion
    When the upstream sends HEAD "/h" with the body ""
    Then the answer to HEAD came back with the length 8

  Scenario Outline: A fault of the minion gets the correct verdict: <fault>
    Given the minion has the fault "<fault>"
    When the upstream sends POST "/work" with the body "hello"
    And 4 seconds pass at the upstream
    Then the upstream outcome is <outcome> and says <execution>
    And the minion started <starts> requests

    Examples:
      | fault | outcome | execution | starts |
      | wrong_id | Invalid | may-have-run | 1 |
      | short | Invalid | may-have-run | 1 |
      | garbage | Invalid | may-have-run | 1 |
      | close_after_start | Lost | may-have-run | 1 |
      | late_seconds | TimedOut | may-have-run | 1 |
      | fail | ResponseReceived | ran | 1 |
      | refuse | Refused | not-run | 0 |

  Scenario: A minion over its slots refuses and the verdict is not run
    When the upstream sends 9 requests with run-ms = 1000
    And 2 seconds pass at the upstream
    Then 8 upstream outcomes are ResponseReceived
    And 1 upstream outcomes are Refused
    And the minion started 8 requests

  Scenario: A start after its time is refused
    When the upstream sends 1 requests with start before = 0
    Then the upstream outcome is Refused and says not-run
    And the minion started 0 requests

  Scenario: A run that passes its limit may have run
    When the upstream sends 1 requests with run-ms = 5000, run limit = 1
    And 2 seconds pass at the upstream
    Then the upstream outcome is ResponseReceived and says may-have-run

  Scenario Outline: A header that is no number is refused: <value>
    When the upstream sends 1 requests with run-ms = <value>
    Then the upstream outcome is ResponseReceived and says may-have-run
    And the minion started 0 requests

    Examples:
      | value |
      | nan   |
      | -1    |
      | x     |

  Scenario: The minion's test paths set faults and show the history
    When the upstream sends POST "/work" with the body "hello"
    And a tester posts the fault "refuse" to the minion
    And the upstream sends POST "/work" with the body "hello"
    Then the upstream outcome is Refused and says not-run
    And the minion's history shows 1 run that ended and 1 refusal

  Scenario: A request to a minion that does not listen is reported as not run
    Given the minion has stopped listening
    When the upstream sends POST "/work" with the body "hello"
    Then the upstream outcome is NotSent and says not-run

  Scenario: A header that can't be sent is reported, not raised
    When the upstream sends 1 requests with accept = b\r\nx-start-before: 9
    Then the upstream outcome is NotSent and says not-run

  Scenario: A late answer never reaches a later request
    Given the minion has the fault "late_seconds"
    When the upstream sends POST "/first" with the body "one"
    And 4 seconds pass at the upstream
    And the minion has no fault any more
    And the upstream sends POST "/second" with the body "two"
    And 6 seconds pass at the upstream
    Then the upstream outcome is ResponseReceived with the body "two"

  Scenario: Unresponsive connections make one request time out and no more
    When the upstream sends 5 requests with run-ms = 100
    And 1 seconds pass at the upstream
    Then the upstream has 5 idle connections
    When the minion's open connections go silent
    And the upstream sends POST "/lost" with the body "one"
    And 4 seconds pass at the upstream
    Then the upstream outcome is TimedOut and says may-have-run
    And the upstream has 0 idle connections
    When the upstream sends 5 requests with run-ms = 100
    And 1 seconds pass at the upstream
    Then 10 upstream outcomes are ResponseReceived

  Scenario: A connection that the minion closed is not used for another request
    When the upstream sends POST "/first" with the body "one"
    And the minion closes its connections without the upstream's loop turning
    And the upstream sends POST "/second" with the body "two"
    Then the upstream outcome is ResponseReceived with the body "two"
    And the minion started 2 requests

  Scenario: A connection idle for long carries no non-idempotent request
    When the upstream sends POST "/first" with the body "one"
    And 10 seconds pass at the upstream
    And the upstream sends POST "/second" with the body "two"
    Then the minion saw 2 connections
    When the upstream sends an idempotent request after 10 more seconds
    Then the minion saw 2 connections

  Scenario: A leaving minion's connections are not used again
    Given the minion has the fault "leaving"
    When the upstream sends POST "/first" with the body "one"
    And the upstream sends POST "/second" with the body "two"
    Then 2 upstream outcomes are ResponseReceived
    And the minion saw 2 connections

  Scenario: A connection whose close was announced is not used again
    Given a raw server that will announce a close but not close
    When the upstream sends POST "/first" with the body "one"
    And the upstream sends POST "/second" with the body "two"
    Then the server got 2 connections

  Scenario: A request that waited does not get a connection that is closing
    Given a raw server that will close unannounced
    And an upstream with at most 1 connections
    When the upstream sends 2 requests with run-ms = 0
    Then 2 upstream outcomes are ResponseReceived
    And the server got 2 connections

  Scenario: Unsolicited bytes close their connection
    Given a raw server that will answer twice
    When the upstream sends POST "/first" with the body "one"
    Then 1 upstream outcomes are ResponseReceived
    And the upstream has 1 idle connections
    When 1 seconds pass at the upstream
    Then the upstream has 0 idle connections

  Scenario: Connections stay under their cap
    Given an upstream with at most 3 connections
    When the upstream sends 7 requests with run-ms = 100
    Then the minion has 3 connections
    When 2 seconds pass at the upstream
    Then 7 upstream outcomes are ResponseReceived
    And the minion saw 3 connections

  Scenario: Calls that wait for a connection are bounded
    Given an upstream with at most 1 connections
    And the upstream lets 2 calls wait
    When the upstream sends 5 requests with run-ms = 60000
    Then 2 upstream outcomes are NotSent
    When 4 seconds pass at the upstream
    And the upstream sends 2 requests with run-ms = 0
    Then 2 upstream outcomes are ResponseReceived

  Scenario: Cancelled calls do not count among those that wait
    Given an upstream with at most 1 connections
    And the upstream lets 2 calls wait
    When the upstream sends 1 requests with run-ms = 1000
    And 5 requests are sent and cancelled while they wait
    And the upstream sends 2 requests with run-ms = 0
    And 2 seconds pass at the upstream
    Then 3 upstream outcomes are ResponseReceived

  Scenario: A cancelled request ends its run at the minion
    When the upstream sends a request of 5000 ms and cancels it
    Then the minion runs 0 requests
    And no upstream outcome is reported

  Scenario: A call that waits for a connection and times out was not sent
    Given an upstream with at most 1 connections
    When the upstream sends 2 requests with run-ms = 10000
    And 4 seconds pass at the upstream
    Then 1 upstream outcomes are TimedOut
    And 1 upstream outcomes are NotSent
    And the minion started 1 requests

  Scenario: Random faults never lead to a false verdict or a crossed answer
    When 40 random histories of faults and requests are played
    Then every outcome agrees with what the minions ran
