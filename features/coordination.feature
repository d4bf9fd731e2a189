Feature: Limits, members, freshness and claims under faults
  Guards against requests above a team's limit, a second run of a keyed request,
  actions on an outdated configuration and capacity that is never recovered.
  They can follow from crashes, partitions, log outages, and lost, delayed or
  repeated messages between entries. Each violates a guarantee to customers.

  Scenario: Random schedules of faults keep every guarantee
    When random schedules of faults and load run over the entries
    Then every schedule kept its history and at least 20000 steps were run

  Scenario: Members that bridge gaps by snapshots keep every guarantee
    A member that mixes its old accounts with the rebuilt roster would run
    work above a limit, or lose capacity for good.
    When random schedules run over entries that bridge every second read
    Then every schedule kept its history and at least 500 gaps were bridged
    And a ledger that keeps its accounts over a gap fails in such schedules
    And the schedule "crash while running" holds when every read is bridged
    And it fails the check "limit" when removals are dated before the gap

  Scenario Outline: The schedule "<schedule>" holds, but not without <mechanism>
    When the scripted schedule "<schedule>" runs over the entries
    Then its history holds
    And without the mechanism "<mechanism>" it fails the check "<check>"

    Examples:
      | schedule                 | mechanism                     | check   |
      | crash while running      | wait before a closing         | limit   |
      | crash while running      | closing                       | reclaim |
      | chain of two removals    | joint re-mint                 | limit   |
      | lower while running      | gate of a lowered limit       | limit   |
      | lower while running      | proof of settled lowerings    | limit   |
      | lower across a partition | reports through the log       | gated   |
      | lower while one is dead  | gate for removed members      | limit   |
      | repeat transfers         | cumulative transfers          | limit   |
      | join beside an outage    | confirmation of a joiner      | fresh   |
      | close beside an outage   | closing only by known members | limit   |
      | publish and crash        | proof about gone members      | fresh   |
      | regain publish and crash | hold of appends               | fresh   |
      | delay statements         | echo of the question          | fresh   |
      | isolate                  | refusal when stale            | fresh   |
      | lose log for all         | rule for an outage            | serving |
      | lose log for all         | early statement               | serving |
      | slow log for all         | rule for an outage            | serving |
      | claim in parts           | answers of all members        | once    |
      | claim after a departure  | cover of departed members     | once    |
      | release before the log   | fold from the stream alone    | once    |
