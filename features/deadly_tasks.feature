Feature: Tasks that crash the minions that start them
  Guards against one task that crashes minion after minion, and against blaming
  the tasks that ran beside it. At most 3 minions crash under one task, and two
  for each task of a step of deadly tasks, before its job fails.

  Scenario: A task that crashes its minions is given up
    Given a site with 3 entries and 8 minions
    When jobs run beside one with a deadly task
    Then the deadly job fails within 12 seconds
    And at most 3 minions crashed under a deadly task
    And all other jobs are completed
    And no rule was broken

  Scenario: Crashes of minions that are being emptied are counted
    Given a site with 3 entries and 8 minions
    And minions that are being emptied when they crash
    When jobs run beside one with a deadly task
    Then the deadly job fails within 12 seconds
    And at most 3 minions crashed under a deadly task
    And all other jobs are completed
    And no rule was broken

  Scenario: The crashes of a task are counted across hand-overs
    Given a site with 3 entries and 8 minions
    When jobs run beside one with a deadly task
    And the dispatcher is killed after each crash of a minion, twice
    Then the deadly job fails within 20 seconds
    And at most 3 minions crashed under a deadly task
    And all other jobs are completed
    And no rule was broken

  Scenario: A step of deadly tasks costs two minions a task at most
    Given a site with 3 entries and 8 minions
    When a job whose 6 tasks are all deadly is submitted
    Then the deadly job fails within 15 seconds
    And at most 12 minions crashed under deadly tasks in total

  Scenario: Deadly jobs beside each other each end
    Given a site with 3 entries and 8 minions
    When 4 jobs with a deadly task are submitted at once beside others
    Then the deadly jobs fail within 25 seconds
    And at most 3 minions crashed under a deadly task
    And all other jobs are completed
    And no rule was broken

  Scenario: Tasks whose minions lose power together are not blamed
    Given a site with 3 entries and 9 minions
    When a job of 1 steps with 18 tasks of 3 seconds is submitted
    And all minions of a zone crash at once, four times
    Then every entry says that the job is "completed" within 20 seconds

  Scenario: A long-running task that crashes its minions is given up
    Given a site with 3 entries and 8 minions
    When a long-running job with a deadly task is submitted
    Then the deadly job fails within 12 seconds
    And at most 3 minions crashed under a deadly task

  Scenario Outline: Crashes of most of a zone are not put down to tasks
    Given a zone of 6 minions of which <crashed> crash within <seconds> seconds
    Then the crash of its first minion <is> shared

    Examples:
      | crashed | seconds | is     |
      | 1       | 0.0     | is not |
      | 2       | 0.0     | is not |
      | 3       | 0.2     | is     |
      | 6       | 0.0     | is     |
      | 6       | 6.0     | is not |

  Scenario Outline: Only a crash right after a start apart from others proves a task deadly
    Given a task that was suspected of <suspected> crashes
    And it started <start>
    And another task started <other> seconds before the crash
    When its minion crashes <age> seconds after its start
    Then the task <is> given up

    Examples:
      | suspected | start                 | other | age  | is     |
      | 2         | alone                 | 2.0   | 0.05 | is     |
      | 1         | in a group            | 2.0   | 0.05 | is not |
      | 2         | alone                 | 0.1   | 0.05 | is not |
      | 2         | alone                 | 2.0   | 1.5  | is not |
      | 2         | beside others         | 2.0   | 0.05 | is not |
      | 2         | in a run that counted | 2.0   | 0.05 | is not |

  Scenario Outline: Groups of suspects start on fewer minions than are most of a zone
    Given a zone of <size> minions, on <started> of which suspects have just started
    Then a group of suspects <may> start on another one

    Examples: Half of a zone that crashes within 0.3 s counts as lost
      | size | started | may     |
      | 3    | 0       | may     |
      | 3    | 1       | may not |
      | 6    | 1       | may     |
      | 6    | 2       | may not |
