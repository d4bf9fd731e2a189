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
