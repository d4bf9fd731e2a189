Feature: Explaining a failure from logs
  Guards against log lines that do not lead from a request to its cause, because
  a line is missing or does not name the job, reason or entry. Each scenario
  causes the failure of one walk-through in docs/OPERATIONS.md.

  Scenario: A submission refused while the store is unavailable
    Given a logged site with 3 entries and 4 minions
    When the store refuses every entry
    And a job of 1 steps with 6 tasks is submitted over HTTP
    Then the caller gets status 503 with Retry-After
    And a line "CW1602" names the job with reason "store-unavailable" and execution "not-run"
    And a line "CW1201" was written by the same entry

  Scenario: A submission refused for its key
    Given a logged site with 3 entries and 4 minions
    When a job is submitted over HTTP with an unknown key
    Then the caller gets status 401
    And a line "CW1602" names the job with reason "key-unknown" and execution "not-run"
    And that line tells the version and the age of the configuration

  Scenario: A flood of refusals is logged within bounds
    Given a logged site with 3 entries and 4 minions
    When 500 jobs are submitted over HTTP with an unknown key
    Then at most 50 lines "CW1602" were written and every caller was answered

  Scenario: A job that waited for the leases of an unresponsive minion
    Given a logged site with 3 entries and 4 minions
    When a job of 1 steps with 6 tasks of 3 seconds is submitted
    And a working minion falls silent after 0.5 seconds
    And 14 seconds pass
    Then a line "CW1601" names the job
    And a line "CW1605" names the job
    And a line "CW1607" was written
    And a line "CW1604" names the job

  Scenario: A job whose task fails too often
    Given a logged site with 3 entries and 4 minions
    When every minion fails what it runs
    And a job of 1 steps with 1 tasks is submitted
    And 4 seconds pass
    Then 2 lines "CW1608" name a task of the job with end "failed"
    And a line "CW1604" names the job with state "failed"

  Scenario Outline: The link of an entry is read from the settings file
    When a settings file with the limit <limits> is read
    Then the entry's link carries <bytes> bytes a second

    Examples:
      | limits            | bytes  |
      | link_mbps = 5.0   | 625000 |
      | memory_mb = 200   | 0      |

  Scenario: An error in a settings file names the file
    When a settings file without addresses is read
    Then the fault names the file and what is missing

  Scenario: Unreadable records of another writer are skipped and logged with a reason
    When records that name no minion and no configuration are decoded
    Then each of them is logged as "CW1708" and the sound ones hold

  Scenario Outline: A wrong value for a scheduling feature is refused by name
    When a settings file with the scheduling setting <setting> is read
    Then the settings error names <problem>

    Examples:
      | setting           | problem                                        |
      | lookahead = "yes" | [scheduling] lookahead: the value has the wrong |
      | admision = false  | [scheduling] admision: there is no such setting |

  Scenario: A scheduling feature is switched off in the settings file
    When a settings file with the scheduling setting admission = false is read
    Then admission is off and the other scheduling features are on
