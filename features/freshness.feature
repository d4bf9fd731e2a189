Feature: Freshness of the configuration
  An entry that acts on an outdated configuration accepts revoked keys; this
  happens if it overlooks that another member can reach the log. An entry that
  refuses without reason in a log outage, when no member can reach the log,
  stops the fleet.

  Scenario Outline: Whether entry a may act when <case>
    Given the freshness of entry a among a, b, c
    When a read the log to offset 5 at time 0
    And at time 10 the evidence is "<evidence>"
    Then at time <time> the entry is <state> because "<reason>"

    Examples:
      | case                             | evidence                    | time | state | reason               |
      | nothing was heard                |                             | 1.5  | fresh | log read to its head |
      | nothing was heard for long       |                             | 11   | stale | b is silent          |
      | all are cut off from the log     | b down 5, c down 5          | 11   | fresh | no member can reach  |
      | one can reach the log            | b down 5, c up 5            | 11   | stale | c can reach the log  |
      | one holds a newer offset         | b down 6, c down 5          | 11   | stale | b holds a newer      |
      | statements are old               | b down 5, c down 5          | 12.5 | stale | b is silent          |
      | one was cut off, then gone       | b down 5, c down 5, c gone  | 11   | fresh | no member can reach  |
      | one reached the log, then gone   | b down 5, c up 5, c gone    | 11   | stale | c is gone            |
      | one is gone without a word       | b down 5, c gone            | 11   | stale | c is gone            |
      | a peer relayed its read          | b relay 5                   | 11   | fresh | log read to its head |
      | a relay covers unfolded records  | b relay 6                   | 11   | stale | b is silent          |
      | relayed records were folded      | b relay 6, fold 6           | 11   | fresh | log read to its head |
      | a newer own record is known      | b down 5, c down 5, known 6 | 11   | stale | newer record is known |

  Scenario: A member that was gone before the last read does not make the entry stale
    Given the freshness of entry a among a, b, c
    When c is gone at time 1
    And a read the log to offset 5 at time 2
    And at time 10 the evidence is "b down 5"
    Then at time 11 the entry is fresh because "no member can reach"

  Scenario: An entry that is not a member never acts
    Given the freshness of entry a among b, c
    When a read the log to offset 5 at time 0
    Then at time 1 the entry is stale because "not a member"

  Scenario: Appends wait after the log was stated to be out of reach
    Given the freshness of entry a among a, b
    When a read the log to offset 5 at time 0
    Then a states at time 0.5 that it can reach the log
    And a states at time 1.5 that it cannot reach the log
    When a read the log to offset 5 at time 2
    Then a may not append at time 4
    And a may append at time 4.6
