Feature: Router
  A start in a zone that is out, or at a failing minion, wastes or loses work.

  Scenario: No generated history starts where it must not
    Given the router as it is
    Then no generated history violates the router checks

  Scenario Outline: The router check notices <fault>
    Given a router that <fault>
    Then some generated history violates the router checks

    Examples:
      | fault                          |
      | ignores zones that are out     |
      | ignores connections that leave |
      | ignores exclusions             |
      | overfills minions              |
      | ejects without a bound         |

  Scenario: A minion that fails everything is ejected, probed and readmitted
    Given the router as it is
    And a pool of 6 minions that has run 200 requests
    When minion 1 begins to fail at once
    Then it gets at most 4 of the next 200 requests
    And it gets at most 6 probes in the 30 seconds after
    When minion 1 recovers
    Then it is used again within 31 seconds

  Scenario: The ejection check notices a missing ejection
    Given a router that never ejects
    And a pool of 6 minions that has run 200 requests
    When minion 1 begins to fail at once
    Then it gets more than 4 of the next 200 requests

  Scenario: A minion that fails at once attracts no work before its ejection
    Given a router that never ejects
    Then a quickly failing minion gets less than a third of a busy pool's work

  Scenario: The attraction check notices failures that count as idleness
    Given a router that counts failures as idleness
    Then a quickly failing minion gets more than a third of a busy pool's work

  Scenario: Requests that fail everywhere eject no minion
    Given the router as it is
    Then 400 requests of which half fail everywhere eject no minion

  Scenario: The blame check notices judgement without comparison
    Given a router that judges without comparison
    Then 400 requests of which half fail everywhere eject some minion

  Scenario: Work that cannot be repeated probes no ejected minion
    Given the router as it is
    And a pool of 6 minions that has run 200 requests
    When minion 1 begins to fail at once
    And 200 requests are routed
    Then work that cannot be repeated never reaches it

  Scenario: A new minion starts slowly and a near one is preferred
    Given the router as it is
    Then a minion that joins gets at most 2 of its 8 slots at first
    And it gets all 8 slots after 5 seconds
    And near minions get more than 40 percent and less than 80 of light work

  Scenario: A minion that returns to the list still counts what it runs
    Given the router as it is
    Then a minion that leaves the list and returns has no more than its slots
