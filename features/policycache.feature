Feature: Queues with a placement policy
  Guards against tasks that start where their placement policy does not allow it,
  because a ticket is missing, lapsed or for another minion, and against urgent
  work that waits while the policy service is queried about other work.

  Scenario: Tasks start only where the policy allows it
    Given a site with 3 entries, 8 minions and a policy that allows 0.5 of them
    When a job of 2 steps with 6 tasks is submitted
    Then every entry says that the job is "completed" within 4 seconds
    And 12 runs began
    And no start was refused for its ticket
    And no rule was broken

  Scenario: A step that few minions may run is still placed
    Given a site with 3 entries, 24 minions and a policy that allows 0.15 of them
    When a job of 1 steps with 4 tasks is submitted
    Then every entry says that the job is "completed" within 4 seconds
    And no start was refused for its ticket

  Scenario: Tasks that must start again later get new tickets
    Given a site with 3 entries, 8 minions and a policy that allows 0.6 of them
    When a long-running job of 2 tasks is submitted
    And a working minion falls silent after 4 seconds
    And 8 seconds pass
    Then 2 tasks run on minions that answer
    And no start was refused for its ticket

  Scenario: Work continues after the policy service was unresponsive
    Given a site with 3 entries, 8 minions and a policy that allows 0.5 of them
    When the policy service is silent for 3 seconds and a job is submitted
    Then every entry says that the job is "completed" within 4 seconds

  Scenario: The most urgent step is queried first, with the minions that it needs
    Given a policy cache and 20 minions with room for 8 tasks each
    When a step of 16 tasks wants advice before another one
    Then 4 minions are named for the first step
    And nothing else is asked until the answer is there

  Scenario: Minions that may not run a step are not queried for it again
    Given a policy cache and 6 minions with room for 8 tasks each
    When a step is told that 1 of its minions may run it
    Then only minions of which nothing is known are named next
    When its ticket has lapsed
    Then the minion with the lapsed ticket is named as well
