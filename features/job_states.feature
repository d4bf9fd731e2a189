Feature: States of jobs while the store can't be read
  Guards against callers who are told for seconds that a job is running although
  it has ended, since no entry can read its progress, and against a job that
  runs again after a caller was told that it is completed: its outcome is known
  to the leader and the minions only, and both may be lost before the store is
  back.

  Scenario Outline: A job that ends while the store is away is reported as completed
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is <fault> by the store
    And 1.5 seconds pass on that site
    Then every entry but the leader reports the job as "completed" within 0.5 seconds
    When the store serves every entry again
    And 3 seconds pass on that site
    Then every entry reports the job as "completed" within 0.5 seconds
    And each task has started once

    Examples:
      | fault               |
      | refused             |
      | not answered        |

  Scenario: A leader that has refused a submission is still asked for states
    Given a site of entries in zones "a b" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is refused by the store
    And 1.2 seconds pass on that site
    And another job is refused at every entry
    Then every entry but the leader reports the job as "completed" within 0.5 seconds

  Scenario: A job that still runs is not reported as completed
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 4 seconds that runs
    When every entry is refused by the store
    And 1.5 seconds pass on that site
    Then every entry reports the job as "running" within 0.5 seconds

  Scenario Outline: A job that was reported as completed does not run again
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is refused by the store
    And 1.5 seconds pass on that site
    And one entry reports the job as "completed"
    And the leader is killed and the minions crash
    And the store serves every entry again after <seconds> seconds
    And 12 seconds pass on that site
    Then the other entries report the job as "completed" within 0.5 seconds
    And each task has started once

    Examples:
      | seconds |
      | 0.2     |
      | 4       |

  Scenario: Without the record of its completion the job would run again
    Given a site of entries in zones "a b c" with 3 minions
    And entries that do not record completions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is refused by the store
    And 1.5 seconds pass on that site
    And one entry reports the job as "completed"
    And the leader is killed and the minions crash
    And the store serves every entry again after 0.2 seconds
    And 12 seconds pass on that site
    Then some task has started again

  Scenario Outline: A job that was reported as completed does not run again where the store serves some entries
    Given a site of entries in zones "a b c a b" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When the leader and a follower are <fault> by the store
    And all tasks have ended and their minions crash
    And that follower comes to report the job as "completed" within 1 seconds
    And <loss>
    And 10 seconds pass on that site
    Then every entry reports the job as "completed" within 1 seconds
    When the store serves every entry again
    And 3 seconds pass on that site
    Then every entry reports the job as "completed" within 1 seconds
    And each task has started once

    # Without the leader, only the follower knows of the completion.
    Examples:
      | fault        | loss                                                   |
      | refused      | nothing else fails                                     |
      | not answered | nothing else fails                                     |
      | refused      | the former leader is killed                            |
      | not answered | the former leader is killed                            |
      | refused      | its successor is killed as soon as it dispatches       |
      | not answered | its successor is killed as soon as it dispatches       |
      | refused      | the leader does not respond to other entries           |

  Scenario: Without asking other entries a successor would run the job again
    Given a site of entries in zones "a b c a b" with 3 minions
    And entries that ask no others for completions
    And a job of 3 tasks of 1 seconds that runs
    When the leader and a follower are refused by the store
    And all tasks have ended and their minions crash
    And that follower comes to report the job as "completed" within 1 seconds
    And 10 seconds pass on that site
    Then some task has started again

  Scenario: An entry that a successor has asked takes no completion from the former leader
    Given a site of entries in zones "a b c a b" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When the leader and a follower are refused by the store
    And all tasks have ended and their minions crash
    And the successor can't ask the former leader
    And another entry dispatches
    Then that follower does not pass on a completion of the former leader

  Scenario: A completion of a job that the entry has not read yet is kept
    Given a site of entries in zones "a b c a b" with 3 minions
    When the leader reports a job as completed that a follower has not read
    Then that follower tells a new leader of the completion
    When that follower reads the job
    Then it reports that job as "completed"

  Scenario Outline: A silent entry delays only lost runs, for a second
    Given a site of entries in zones "a b c a b" with 3 minions
    And a job of 3 tasks of <task> seconds that runs
    When a follower does not respond to other entries
    And the leader is killed and <minions> of the minions crash
    And another entry dispatches
    And 6 seconds pass on that site
    Then <minions> lost tasks have started again within <seconds> seconds of the takeover
    And no other task has started again

    Examples:
      | task | minions | seconds |
      | 9    | 1       | 1.2     |
      | 9    | 3       | 1.2     |

  Scenario: A question without any outcome delays lost runs for a second at most
    Given a site of entries in zones "a b c a b" with 3 minions
    And a job of 3 tasks of 9 seconds that runs
    When questions to a follower have no outcome
    And the leader is killed and 3 of the minions crash
    And another entry dispatches
    And 6 seconds pass on that site
    Then 3 lost tasks have started again within 1.2 seconds of the takeover

  Scenario Outline: A job that was shown as completed does not run again after all hosts and minions lost power
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is <fault> by the store
    And 1.5 seconds pass on that site
    And every entry is asked for the job's state
    And all hosts and minions lose power for 1 seconds
    And 12 seconds pass on that site
    Then every entry reports the job as "completed" within 0.5 seconds
    And no task has started after its job was shown as completed

    Examples:
      | fault        |
      | refused      |
      | not answered |

  Scenario Outline: A job whose cancellation was acknowledged does not run again after all hosts and minions lost power
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is <fault> by the store
    And 1.5 seconds pass on that site
    And every entry is asked for the job's state
    And every entry is asked to cancel the job
    And all hosts and minions lose power for 1 seconds
    And 12 seconds pass on that site
    Then no task has started after its job's cancellation was acknowledged

    Examples:
      | fault        |
      | refused      |
      | not answered |

  Scenario: A leader that reaches few minions tells no outcomes that are not stored
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is refused by the store
    And the leader can't reach 2 of the minions
    And 1.5 seconds pass on that site
    Then every entry reports the job as "running" within 0.5 seconds

  Scenario: An entry that is cut off from the store alone asks the leader
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 0.5 seconds that runs
    When a follower is refused by the store
    And 1.5 seconds pass on that site
    Then that entry reports the job as "completed" within 0.5 seconds

  Scenario: An entry whose leader does not respond reports the state that it knows
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is refused by the store
    And the leader does not respond to other entries
    And 1.2 seconds pass on that site
    Then every entry but the leader reports the job as "running" within 0.5 seconds
