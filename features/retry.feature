Feature: Retries
  Guards against requests that run twice, because an attempt that may have run is
  repeated, and against refusals with a false verdict, because earlier attempts
  are ignored. Retries without budgets multiply load on failing minions.

  Scenario: No generated script runs a request twice or reports a false verdict
    Given the retry policy as it is
    Then no generated script violates the retry history

  Scenario Outline: The retry check notices <fault>
    Given a retry policy that <fault>
    Then some generated script violates the retry history

    Examples:
      | fault                            |
      | repeats what may have run        |
      | has no team budgets              |
      | has no fleet budget              |
      | reports the last attempt only    |
      | has no limit of attempts         |
      | ignores deadlines                |

  Scenario Outline: Decision after a single attempt
    Given the retry policy as it is
    Then a first attempt of a <kind> request that ended <outcome> gives <result>

    Examples:
      | kind           | outcome   | result                               |
      | non-idempotent | refused   | a retry                              |
      | non-idempotent | not-sent  | a retry                              |
      | non-idempotent | lost      | minion-connection-lost, may-have-run |
      | non-idempotent | timed-out | minion-timeout, may-have-run         |
      | non-idempotent | invalid-answer | minion-answer-invalid, may-have-run |
      | non-idempotent | failed    | retries-exhausted, ran               |
      | idempotent     | lost      | a retry                              |
      | idempotent     | failed    | a retry                              |

  Scenario Outline: A retry refused in the queue still reports its earlier attempts
    Then a queue-full refusal after an attempt that ended <outcome> says <what>

    Examples:
      | outcome  | what         |
      | not-sent | not-run      |
      | lost     | may-have-run |
      | failed   | ran          |

  Scenario: Delays have full jitter below a doubling limit
    Given the retry policy as it is
    Then 200 first delays spread from 0 to 0.05 seconds
    And 200 second delays spread from 0 to 0.1 seconds

  Scenario: A kind of request that fails on three minions is not retried
    Given the retry policy as it is
    Then a request that failed on 3 minions is refused as ran
    And another request of its kind is refused after one attempt
    And it is retried again once one of its kind has succeeded
    And its failures are forgotten after 60 seconds

  Scenario: The kind check notices a policy that attributes no failures to requests
    Given a retry policy that blames no request
    Then another request of a failed kind is retried
