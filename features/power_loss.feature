Feature: What callers were told after losses of power
  Guards against a site that forgets what it has told a caller: that a job is
  accepted, completed or cancelled. All entries and minions may lose power at
  once, and the store may be away before and after.

  Scenario Outline: A job shown as completed runs again after a loss of power
    Given a site with callers in zones "a b c a b"
    And a job of 3 tasks of 1 seconds that callers know
    When <unserved> entries are <fault> by the store for <outage> seconds
    And a caller is told that the job is "completed"
    And <lost> entries and all minions lose power
    And 15 seconds pass beside the callers
    Then what callers were told holds

    # The completion is known only to processes that are lost.
    Examples:
      | unserved | fault        | outage | lost    |
      | all      | refused      | 2      | all     |
      | all      | not answered | 4      | all     |
      | the told | refused      | 2      | all     |
      | the told | not answered | 4      | the told |

  Scenario Outline: A cancelled job that was shown as completed runs again after a loss of power
    Given a site with callers in zones "a b c a b"
    And a job of 3 tasks of 1 seconds that callers know
    When all entries are <fault> by the store for 2 seconds
    And a caller is told that the job is "completed"
    And the caller cancels the job there
    And all entries and all minions lose power
    And 15 seconds pass beside the callers
    Then what callers were told holds

    # The cancellation is acknowledged, as of a job that has ended.
    Examples:
      | fault        |
      | refused      |
      | not answered |

  Scenario Outline: A job that is cancelled while its submission is in flight runs
    Given a site with callers in zones "a b c a b"
    When a job is submitted and its append arrives after <seconds> seconds
    And another entry is asked to cancel it meanwhile
    And 15 seconds pass beside the callers
    Then what callers were told holds

    # The entry that acknowledges the cancellation does not know the job yet.
    Examples:
      | seconds |
      | 1       |
      | 5       |

  Scenario: An entry that knows of a completion passes on an older state
    Given a site with callers in zones "a b c"
    And a job of 3 tasks of 1 seconds that callers know
    When all entries are refused by the store for 3 seconds
    And a caller is told that the job is "completed"
    And the configuration of that entry is out of date
    And the leader answers no other entry
    And that entry is asked for the job
    And 15 seconds pass beside the callers
    Then what callers were told holds

  Scenario: A job shown as completed is cancelled at an entry that does not know
    Given a site with callers in zones "a b c a b"
    And a job of 3 tasks of 1 seconds that callers know
    When the told entries are refused by the store for 3 seconds
    And a caller is told that the job is "completed"
    And another entry is asked to cancel the job
    And all entries are asked for the job
    And 15 seconds pass beside the callers
    Then what callers were told holds

  Scenario: A job whose append arrives late is not refused
    Given a site with callers in zones "a b c a b"
    When a job is submitted and its append arrives after 5 seconds
    And 15 seconds pass beside the callers
    Then what callers were told holds

  Scenario: The refusal of a job whose append arrives late is detected
    Given entries without the mechanism "a refusal tells whether the job may be stored"
    And a site with callers in zones "a b c a b"
    When a job is submitted and its append arrives after 5 seconds
    And 15 seconds pass beside the callers
    Then the check "REFUSED_STARTS" fails

  Scenario Outline: Random outages and losses of power
    Given <count> sites with callers and faults drawn from seed <seed>
    Then what callers of each site were told holds

    Examples:
      | count | seed |
      | 3     | 1005 |
      | 3     | 1086 |
      | 3     | 1196 |
      | 3     | 1279 |
      | 3     | 1318 |

  Scenario Outline: Random schedules detect a missing mechanism
    Given entries without the mechanism "<mechanism>"
    And <count> sites with callers and faults drawn from seed <seed>
    Then some site fails the check "<check>"

    Examples:
      | mechanism                                         | check            | count | seed |
      | a job is stored before it is accepted             | KNOWN            | 2     | 1    |
      | a new leader continues the jobs that it finds     | ENDED            | 2     | 1    |
      | only jobs that have ended are shown as completed  | TASKS_ENDED      | 2     | 1    |
      | a completion is stored before it is shown         | COMPLETED_STARTS | 1     | 1008 |
      | a completion is stored before it is shown         | STAYS_COMPLETED  | 1     | 1008 |
      | cancellations are stored before they are answered | CANCELLED_STARTS | 2     | 1    |
      | outcomes are stored before they are acknowledged  | RUNS             | 2     | 1    |
