Feature: Claims of idempotency keys
  Two claims of one key that are both granted run an order twice; a key that is
  not released after its request did not run refuses a legitimate retry. This
  happens if entries decide before the log or all members have recorded a claim,
  or if a claim is kept although its request did not run or its time has passed.

  Background:
    Given claim tables of entries a, b, c with a shared stream

  Scenario: Claims are committed in groups at a bounded rate
    When a submits 50 different keys at time 0
    And a appends at time 0
    And a submits key k99 as r99 at time 0.01
    Then a has nothing to append at time 0.04
    When a appends at time 0.06
    And all tables read the stream at time 0.1
    Then the stream has 2 records and a was told to run 51 requests

  Scenario: The first claim in the stream runs
    When a submits key k as r1 at time 0
    And b submits key k as r2 at time 0
    And b appends at time 0.1
    And a appends at time 0.1
    And all tables read the stream at time 0.2
    Then r2 is ruled RUN
    And r1 is ruled RUNNING

  Scenario: A duplicate gets the first answer where it is known
    When a submits key k as r1 at time 0
    And a appends at time 0
    And all tables read the stream at time 0.1
    And a finishes key k of r1 as RAN with an answer of 40 bytes
    And a submits key k as r2 at time 1
    Then r2 is ruled ANSWER
    When a appends at time 1
    And all tables read the stream at time 1.1
    And c submits key k as r3 at time 2
    Then r3 is ruled RAN

  Scenario: A key reused for another request is refused
    When a submits key k as r1 at time 0
    And a submits key k as r2 with another body at time 0
    Then r2 is ruled REUSED

  Scenario: Answers are kept within a bound on memory
    When a runs keys k1, k2, k3 with answers of 40 bytes each
    Then a keeps the answers of k2, k3 only

  Scenario: A key of a request that did not run is free again
    When a submits key k as r1 at time 0
    And a appends at time 0
    And all tables read the stream at time 0.1
    And a finishes key k of r1 as NOT_RUN with an answer of 0 bytes
    And a submits key k as r2 at time 0.1
    Then r2 is ruled UNAVAILABLE
    When a appends at time 0.2
    And all tables read the stream at time 0.3
    And b submits key k as r3 at time 0.4
    And b appends at time 0.4
    And all tables read the stream at time 0.5
    Then r3 is ruled RUN

  Scenario: A claim that the log takes too late never runs
    When a submits key k as r1 at time 0
    And a appends at time 0
    And a moves its claims on at time 6 without the log
    Then r1 is ruled UNAVAILABLE
    When all tables read the stream at time 7
    Then r1 was never told to run

  Scenario Outline: A key is kept for an hour of log time
    When a submits key k as r1 at time 0
    And a appends at time 0
    And all tables read the stream at time 0.1
    And b submits key k2 as r2 at time <time>
    And b appends at time <time>
    And all tables read the stream at time <time>
    And c submits key k as r3 at time <time>
    Then r3 is ruled <ruling>

    Examples:
      | time | ruling  |
      | 3599 | RUNNING |
      | 3601 | WAIT    |

  Scenario: New keys are refused when the table is full
    When a submits 100 different keys at time 0
    And a submits key k as r1 at time 0
    Then r1 is ruled UNAVAILABLE

  Scenario: An entry that may miss claims refuses keys
    When c, which is not complete, submits key k as r1 at time 0
    Then r1 is ruled UNAVAILABLE

  Scenario: Without the log a claim runs once all members have recorded it
    When a submits key k as r1 at time 0
    And a asks b, c at time 1 and all answer
    Then r1 is ruled RUN
    When b submits key k as r2 at time 2
    Then r2 is ruled RUNNING

  Scenario: Without the log a member that does not answer prevents the run
    When a submits key k as r1 at time 0
    And a asks b at time 1 and all answer
    And a moves its claims on at time 6 without the log
    Then r1 is ruled UNAVAILABLE

  Scenario: Without the log two claims of one key do not both run
    When a submits key k as r1 at time 0
    And b submits key k as r2 at time 0
    And a asks b, c at time 1 and all answer
    Then r1 is ruled RUNNING

  Scenario: A claimant that does not know the latest member is refused
    Given b has folded a join that a has not
    When a submits key k as r1 at time 0
    And a asks b, c at time 1 and all answer
    And a moves its claims on at time 6 without the log
    Then r1 is ruled UNAVAILABLE

  Scenario: The others flush a recorded claim when the claimant is gone
    When a submits key k as r1 at time 0
    And a asks b, c at time 1 and all answer
    And b appends at time 12
    And all tables read the stream at time 12.1
    And c submits key k as r2 at time 13
    Then r2 is ruled RUNNING
    And c has no claim left to flush
