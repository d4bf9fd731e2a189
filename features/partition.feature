Feature: Leases on both sides of a network partition
  Guards against work that runs twice when a partition divides entries and
  minions. A former leader that has lost the store may still reach minions that
  its successor can't fence; leases that it goes on extending outlast the
  successor's wait, which then starts the same tasks elsewhere.

  Scenario Outline: A leader that is cut off with few minions lets their leases end
    Given a site with 4 entries and 6 minions
    When a job of 1 steps with 36 tasks of <task> seconds is submitted
    And after 0.5 seconds the leader and 2 minions are cut off from the others and the store
    And the partition ends after <cut> seconds
    Then every entry says that the job is "completed" within 30 seconds
    And no rule was broken

    # Tasks of 3 seconds end during the cut, tasks of 9 seconds do not.
    Examples:
      | task | cut |
      | 3    | 14  |
      | 9    | 14  |
      | 9    | 6   |

  Scenario: A leader that reaches most minions keeps their work while the store is away
    Given a site with 4 entries and 6 minions
    When a job of 1 steps with 36 tasks of 20 seconds is submitted
    And 0.5 seconds pass
    And the store is silent for every entry for 3 seconds
    And 2 minions can't be reached for 3 seconds
    And the store answers again after 10 seconds
    Then every entry says that the job is "completed" within 30 seconds
    And 36 runs began
    And no rule was broken

  Scenario Outline: A successor that reaches few minions starts nothing a second time
    Given a site with 4 entries and 6 minions
    When a job of 1 steps with 36 tasks of 20 seconds is submitted
    And after 0.5 seconds the leader and <minions> minions are cut off from the others and the store
    And the partition ends after 12 seconds
    Then every entry says that the job is "completed" within 30 seconds
    And 36 runs began
    And no rule was broken

    Examples:
      | minions |
      | 4       |
      | 5       |

  Scenario: A leader that takes over late counts its leadership from its candidacy
    Given a site with 4 entries and 6 minions
    When a job of 1 steps with 36 tasks of 20 seconds is submitted
    And 0.5 seconds pass
    And the leader starts again and is cut off with 2 minions 2 seconds after its candidacy
    And the partition ends after 12 seconds
    Then every entry says that the job is "completed" within 60 seconds
    And no rule was broken

  Scenario: Random partitions neither lose nor duplicate work
    Given 12 sites with partitions drawn from seed 31000
    When each site runs for 25 seconds and then in peace
    Then every accepted job of every site is completed
    And no site broke a rule

  Scenario Outline: The search finds a missing mechanism against partitions
    Given <count> sites with partitions drawn from seed <seed>
    When each site runs for 25 seconds without the mechanism "<mechanism>"
    Then some site broke a rule

    Examples:
      | count | seed  | mechanism                                     |
      | 1     | 31119 | a leader without the store needs most minions |
      | 1     | 31089 | a successor waits for half of the minions     |
