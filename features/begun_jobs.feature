Feature: Which jobs are shown as begun
  Guards against a job that is shown as running, and not counted as pending,
  although no minion has started a task of it: a run that is only planned or
  ordered may never start. Also against a job that stays pending while it runs,
  because the response to its start or the leader that got it was lost.

  Background:
    Given a site of entries in zones "a b c" with 3 minions
    And every entry's states are compared with what has started

  Scenario Outline: A job whose starts are not carried out stays pending
    When <fault>
    And a job of 2 tasks is submitted to a follower
    And 5.1 seconds pass on that site
    Then no task has started
    And some start was planned
    And every entry shows 1 pending job and the job as "queued"
    When every minion starts tasks again
    And 6 seconds pass on that site
    Then every entry shows 0 pending jobs and the job as "completed"

    Examples:
      | fault                           |
      | every minion is cut off         |
      | every minion rejects its starts |

  Scenario: A job whose starts are not carried out stays pending under the next leader
    When every minion is cut off
    And a job of 2 tasks is submitted to a follower
    And 1 seconds pass on that site
    And the newest leader is killed
    And 5 seconds pass on that site
    Then some start was planned
    And no task has started
    And every entry shows 1 pending job and the job as "queued"
    When every minion starts tasks again
    And 12 seconds pass on that site
    Then every entry shows 0 pending jobs and the job as "completed"

  Scenario: A job that waits for the first start of its second run is pending
    When every minion rejects its starts
    And a job of 2 tasks is submitted to a follower
    And 1 seconds pass on that site
    And every minion is cut off
    And 5 seconds pass on that site
    Then every entry shows 1 pending job and the job as "queued"

  Scenario Outline: A job that runs is not pending although <fault>
    When <fault>
    And a job of 2 tasks of 8 seconds is submitted to a follower
    And 2 seconds pass on that site
    Then every task has started once
    And every entry shows 0 pending jobs and the job as "running"

    Examples:
      | fault                                    |
      | no response to a start arrives           |
      | nothing fails                            |

  Scenario: The next leader finds that a job has begun by the reports of minions
    When a job of 2 tasks of 12 seconds is submitted to a follower
    And the leader is killed once its tasks have started and before that is stored
    Then every entry shows 1 pending job and the job as "queued"
    When 4 seconds pass on that site
    Then every task has started once
    And every entry shows 0 pending jobs and the job as "running"

  Scenario: A job that has begun stays begun while its tasks wait for another start
    When a job of 2 tasks of 8 seconds is submitted to a follower
    And 1 seconds pass on that site
    And every minion crashes and is cut off
    And 6 seconds pass on that site
    Then every entry shows 0 pending jobs and the job as "running"
    When the newest leader is killed
    And 5 seconds pass on that site
    Then every entry shows 0 pending jobs and the job as "running"
