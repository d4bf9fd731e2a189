Feature: Router
  A start in a zone that is out, or at a failing minion, wastes or loses work.
  This happens if the router ignores zones, exclusions or leaving connections,
  or takes the fast failures of a minion for free capacity. Ejection without a
  bound or without comparison removes healthy minions.

  Scenario Outline: <promise>
    Given the router as it is
    Then the <name> check of the router holds

    Examples:
      | name       | promise                                             |
      | starts     | Nothing starts where it must not; ejection is bound |
      | ejection   | A minion that fails everything is ejected           |
      | attraction | Failing at once attracts no work                    |
      | blame      | Requests that fail everywhere eject no minion       |

  Scenario Outline: The <name> check notices a router that <fault>
    Given a router that <fault>
    Then the <name> check of the router fails

    Examples:
      | name       | fault                          |
      | starts     | ignores zones that are out     |
      | starts     | ignores connections that leave |
      | starts     | ignores exclusions             |
      | starts     | overfills minions              |
      | starts     | ejects without a bound         |
      | ejection   | never ejects                   |
      | attraction | counts failures as idleness    |
      | blame      | judges without comparison      |

  Scenario: An ejected minion is probed and readmitted
    Given the router as it is
    And a pool of 6 minions that has run 200 requests
    When minion 1 begins to fail at once
    And 200 requests are routed
    Then it gets at most 6 probes in the 30 seconds after
    When minion 1 recovers
    Then it is used again within 31 seconds

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

  Scenario: The mark of a leaving connection expires while the list is unchanged
    Given the router as it is
    Then a minion marked as leaving gets work again 31 seconds on
    And it gets none while the mark is 29 seconds old
