Feature: Life cycle of a request at an entry
  Guards against callers that get no answer, two answers or a false verdict, and
  against work above a team's limit. They come from lost attempts, retries,
  cancelled requests, stale configuration and claims that expire before the
  request.

  Scenario: Random request sequences keep limits, at-most-once execution and correct verdicts
    Then 60 random courses of requests keep what the gateway promises
    And the gateway check fails for one that frees rights of lost work at once
    And the gateway check fails for one that repeats every request
    And the gateway check fails for one that forgets earlier attempts

  Scenario: A lost non-idempotent request is not sent again
    Given a gateway with a limit of 4
    When a request is submitted and its attempt is lost
    Then the gateway answers 502 with verdict may-have-run after 1 attempt

  Scenario: A lost idempotent request is sent to another minion
    Given a gateway with a limit of 4
    When an idempotent request is submitted and its attempt is lost
    And the gateway's next attempt is answered
    Then the gateway answers 200 with verdict ran after 2 attempts
    And the attempts went to different minions

  Scenario: A request that a minion refused to start is sent again
    Given a gateway with a limit of 4
    When a request is submitted and its attempt is refused
    And the gateway's next attempt is answered
    Then the gateway answers 200 with verdict ran after 2 attempts

  Scenario: Lost work keeps its escrow token until its lease has ended
    Guards against a team that runs more than its limit after a cut.
    Given a gateway with a limit of 1
    When a request is submitted and its attempt is lost
    And another request is submitted
    Then no attempt of it starts until the lease has ended

  Scenario: A cancelled request that waits is removed from the queue
    Given a gateway with a limit of 1
    When 3 requests are submitted and the callers of 2 waiting ones leave
    Then one request runs and none waits

  Scenario: Nothing starts on a stale configuration
    Given a gateway with a limit of 1
    When 2 requests are submitted and the configuration becomes stale
    And the running one is answered
    Then no further attempt starts until the configuration is fresh

  Scenario Outline: A keyed request follows the decision on its claim
    Given a gateway with a limit of 4
    When a keyed request is submitted and ruled <ruling>
    Then the gateway answers <status> with verdict <verdict> after <n> attempts

    Examples:
      | ruling      | status | verdict      | n |
      | running     | 409    | may-have-run | 0 |
      | ran         | 409    | ran          | 0 |
      | reused      | 422    | not-run      | 0 |
      | unavailable | 503    | not-run      | 0 |

  Scenario: A keyed request whose caller left before the decision never runs
    Given a gateway with a limit of 4
    When a keyed request is submitted, its caller leaves and it is ruled run
    Then no attempt was made and the claim is freed as not-run

  Scenario: A keyed request whose deadline is later than the expiry of its claim is refused
    Given a gateway with a limit of 4
    When a keyed request with a deadline of 2 hours is submitted
    Then the gateway answers 400 with verdict not-run after 0 attempts
