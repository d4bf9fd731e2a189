Feature: States of jobs while the store can't be read
  Guards against callers who are told for seconds that a job is running although
  its end is stored, since their entry can't read its progress, and against a
  job that runs again after a caller was told that it is completed or cancelled:
  without a record in the store, all who know of it may be lost at once.

  Scenario Outline: A job that ends while the store is away is reported as completed once that is stored
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is <fault> by the store
    And 1.5 seconds pass on that site
    Then every entry reports the job as "running" within 0.5 seconds
    When the store serves every entry again
    And 1 seconds pass on that site
    Then every entry reports the job as "completed" within 0.5 seconds
    And each task has started once

    Examples:
      | fault               |
      | refused             |
      | not answered        |

  Scenario Outline: Every entry knows a stored end soon after the store's return
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is <fault> by the store
    And <seconds> seconds pass on that site
    And the store serves every entry again
    Then every entry has read that the job is completed within 0.5 seconds

    Examples:
      | fault        | seconds |
      | refused      | 1.76    |
      | refused      | 2.15    |
      | not answered | 1.76    |
      | not answered | 1.89    |
      | not answered | 2.02    |
      | not answered | 2.15    |
      | not answered | 4.10    |

  Scenario: A leader that has refused a submission is still asked for states
    Given a site of entries in zones "a b" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is refused by the store
    And 1.2 seconds pass on that site
    And another job is refused at every entry
    And the store serves the leader again
    And 0.5 seconds pass on that site
    Then every entry but the leader reports the job as "completed" within 0.5 seconds

  Scenario: A job that still runs is not reported as completed
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 4 seconds that runs
    When every entry is refused by the store
    And 1.5 seconds pass on that site
    Then every entry reports the job as "running" within 0.5 seconds

  Scenario Outline: A job that was shown as completed does not run again after the leader and the minions are lost
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is refused by the store
    And 1.5 seconds pass on that site
    And every entry is asked for the job's state
    Then each has said "running"
    When the leader is killed and the minions crash
    And the store serves every entry again after <seconds> seconds
    And 12 seconds pass on that site
    Then the other entries report the job as "completed" within 0.5 seconds
    And no task has started after its job was shown as completed

    Examples:
      | seconds |
      | 0.2     |
      | 4       |

  Scenario Outline: Where unstored outcomes are shown, a job runs again after it was shown as completed
    Given a site of entries in zones "<zones>" with 3 minions
    And entries that report outcomes that are not stored
    And a job of 3 tasks of 1 seconds that runs
    When <entries> refused by the store
    And all tasks have ended and their minions crash
    And every entry is asked for the job's state
    And <loss>
    And the store serves every entry again after 0.2 seconds
    And 12 seconds pass on that site
    Then some task has started after its job was shown as completed

    Examples:
      | zones     | entries                       | loss                                           |
      | a b c     | every entry is                | all hosts and minions lose power for 1 seconds |
      | a b c a b | the leader and a follower are | the leader is killed                           |

  Scenario Outline: A job that was shown as completed does not run again where the store serves some entries
    Given a site of entries in zones "a b c a b" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When the leader and a follower are <fault> by the store
    And all tasks have ended and their minions crash
    And every entry is asked for the job's state
    Then each has said "running"
    When <loss>
    And 10 seconds pass on that site
    Then every entry reports the job as "completed" within 1 seconds
    When the store serves every entry again
    And 3 seconds pass on that site
    Then every entry reports the job as "completed" within 1 seconds
    And no task has started after its job was shown as completed

    Examples:
      | fault        | loss                                                   |
      | refused      | nothing else fails                                     |
      | not answered | nothing else fails                                     |
      | refused      | the former leader is killed                            |
      | not answered | the former leader is killed                            |
      | refused      | its successor is killed as soon as it dispatches       |
      | not answered | its successor is killed as soon as it dispatches       |
      | refused      | the leader does not respond to other entries           |

  Scenario: An entry that the store turns away asks the successor of the leader
    Given a site of entries in zones "a b c a b" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When the leader and a follower are refused by the store
    And the successor can't ask the former leader
    And another entry dispatches
    And 0.1 seconds pass on that site
    Then that follower asks the successor for the job's state

  Scenario: An entry reports no older state after another has shown it a completion
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 0.5 seconds that runs
    When a follower is refused by the store
    And 1.5 seconds pass on that site
    Then that entry reports the job as "completed" within 0.5 seconds
    When the leader does not respond to other entries
    Then that entry reports the job as "completed" within 0.5 seconds

  Scenario: An entry that knows the end of a job passes on no older state
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 0.5 seconds that runs
    When a follower is refused by the store
    And 1 seconds pass on that site
    And the leader does not respond to other entries
    And the configuration of the third entry is out of date
    Then the third entry reports the job as "completed"

  Scenario: An entry passes on no rejection by an older configuration than it knows
    Given a site of entries in zones "a b c" with 3 minions
    When a follower is refused by the store
    And a key is added to the configuration
    And 0.5 seconds pass on that site
    And the third entry accepts a job with that key
    And every entry is refused by the store
    Then the third entry does not reject a submission with that key

  Scenario: A completion that an entry of an earlier version may not have stored is not passed on
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 4 seconds that runs
    When a follower is refused by the store
    And the leader answers "completed" as an earlier version does
    And 1.2 seconds pass on that site
    Then that entry reports the job as "running" within 0.5 seconds

  Scenario Outline: A silent entry does not delay lost runs
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

  Scenario: An announcement without any outcome does not delay lost runs
    Given a site of entries in zones "a b c a b" with 3 minions
    And a job of 3 tasks of 9 seconds that runs
    When announcements to a follower have no outcome
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
    Then each has said "running"
    When all hosts and minions lose power for 1 seconds
    And 12 seconds pass on that site
    Then every entry reports the job as "completed" within 0.5 seconds
    And no task has started after its job was shown as completed

    Examples:
      | fault        |
      | refused      |
      | not answered |

  Scenario: A job that was shown as completed once that was stored does not run again after all hosts and minions lost power
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When 1.5 seconds pass on that site
    And every entry is asked for the job's state
    Then each has said "completed"
    When every entry is asked to cancel the job
    And all hosts and minions lose power for 1 seconds
    And 12 seconds pass on that site
    Then its cancellation was acknowledged
    And every entry reports the job as "completed" within 0.5 seconds
    And no task has started after its job was shown as completed
    And each task has started once

  Scenario Outline: A job whose cancellation was acknowledged does not run again after all hosts and minions lost power
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is <fault> by the store
    And 1.5 seconds pass on that site
    And every entry is asked for the job's state
    And every entry is asked to cancel the job
    Then its cancellation was not acknowledged
    When all hosts and minions lose power for 1 seconds
    And 12 seconds pass on that site
    Then no task has started after its job's cancellation was acknowledged

    Examples:
      | fault        |
      | refused      |
      | not answered |

  Scenario: A running job that was cancelled does not run again after all hosts and minions lost power
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 4 seconds that runs
    When every entry is asked to cancel the job
    And all hosts and minions lose power for 1 seconds
    And 12 seconds pass on that site
    Then its cancellation was acknowledged
    And no task has started after its job's cancellation was acknowledged
    And every entry reports the job as "cancelled" within 0.5 seconds

  Scenario Outline: A job that was cancelled before its submission was stored does not run
    Given a site of entries in zones "a b c" with 3 minions
    When a job is submitted at an entry whose append is stored late without an answer
    And <entry> is asked to cancel it
    And 1 seconds pass on that site
    Then its cancellation was acknowledged
    When 4 seconds pass on that site
    Then the job is stored and no task of it has started
    And every entry reports it as "cancelled"

    Examples:
      | entry         |
      | another entry |
      | every entry   |

  Scenario Outline: A cancellation of an unknown job that is not stored is not acknowledged
    Given a site of entries in zones "a b c" with 3 minions
    When the store <fault> and a follower is asked to cancel an unknown job
    Then it answers <status>

    Examples:
      | fault                     | status |
      | refuses every entry       | 503    |
      | answers no append         | 504    |

  Scenario Outline: A leader that can't read cancellations starts nothing of a cancelled job
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 200 tasks of 1 seconds of which 24 run at a time
    When the leader <fault>
    And a follower is asked to cancel the job
    And 8 seconds pass on that site
    Then its cancellation was acknowledged
    And no task has started later than 3 seconds after that
    When the leader reads the log of jobs again
    And 3 seconds pass on that site
    Then no task of the job runs

    Examples:
      | fault                                      |
      | can't read the log of jobs                 |
      | loads the log of jobs again, page by page  |

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

  Scenario: An entry whose read of the log has failed asks the leader at once
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When the store refuses every entry once it has an end that a follower has not read
    And 0.4 seconds pass on that site
    Then every entry reports the job as "completed" within 0.5 seconds

  Scenario: An entry whose leader does not respond reports the state that it knows
    Given a site of entries in zones "a b c" with 3 minions
    And a job of 3 tasks of 1 seconds that runs
    When every entry is refused by the store
    And the leader does not respond to other entries
    And 1.2 seconds pass on that site
    Then every entry but the leader reports the job as "running" within 0.5 seconds

  Scenario: An entry serves no open queue by an older configuration than the sender knows
    Given a site of entries in zones "a b c" with 3 minions
    When the queue of that site is open to all
    And 0.5 seconds pass on that site
    Then every entry serves a request that names its own configuration
    And every entry refuses one that names a newer configuration as stale
