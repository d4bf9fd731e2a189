Feature: Jobs on a platform with a shared store
  Guards against jobs that are lost, run twice or reported with a wrong state.
  This can happen when an entry, a minion, a machine or the store fails, or
  when its answer is lost, while jobs are submitted, run or cancelled.

  Scenario: A job of two steps is completed
    Given a site with 3 entries and 4 minions
    When a job of 2 steps with 6 tasks is submitted
    Then the job is accepted
    And every entry says that the job is "completed" within 5 seconds
    And 12 runs began
    And no rule was broken

  Scenario: A submission repeated at every entry stays one job
    Given a site with 3 entries and 4 minions
    When the same job is submitted at every entry
    Then the job is accepted
    And every entry says that the job is "completed" within 5 seconds
    And 6 runs began
    And no rule was broken

  Scenario: A dispatcher is killed while tasks run
    Given a site with 3 entries and 4 minions
    When a job of 2 steps with 6 tasks is submitted
    And the dispatcher is killed after 0.5 seconds
    Then every entry says that the job is "completed" within 10 seconds
    And 12 runs began
    And no rule was broken

  Scenario: A dispatcher that stops hands over at once
    Given a site with 3 entries and 4 minions
    When the dispatcher stops
    Then another entry dispatches within 0.4 seconds

  Scenario: An unresponsive minion does not delay its pool after a leader change
    Given a site with 3 entries and 4 minions
    When a minion without work falls silent
    And the dispatcher stops
    And another entry dispatches within 0.4 seconds
    And a job of 1 steps with 6 tasks is submitted
    Then every entry says that the job is "completed" within 3 seconds
    And no rule was broken

  Scenario: Tasks of an unresponsive minion start again only after their leases
    Given a site with 3 entries and 4 minions
    When a job of 1 steps with 6 tasks of 3 seconds is submitted
    And a working minion falls silent after 0.5 seconds
    Then every entry says that the job is "completed" within 15 seconds
    And no rule was broken

  Scenario: Tasks of a crashed machine start again at once
    Given a site with 3 entries, 8 minions and 4 spare machines
    When a job of 1 steps with 24 tasks of 3 seconds is submitted
    And a working machine crashes after 0.5 seconds
    Then every entry says that the job is "completed" within 4.5 seconds
    And no rule was broken

  Scenario: Tasks of a machine that crashes before it is listed start again soon
    Given a site with 3 entries, 8 minions and 4 spare machines
    When a machine joins, gets tasks of 3 seconds and crashes between two lists
    Then every entry says that the job is "completed" within 6 seconds
    And no rule was broken

  Scenario: A new leader starts tasks of a crashed machine again at once
    Given a site with 3 entries, 8 minions and 4 spare machines
    When a job of 1 steps with 24 tasks of 3 seconds is submitted
    And a working machine crashes after 0.5 seconds
    And the dispatcher is killed after 0 seconds
    Then every entry says that the job is "completed" within 7.5 seconds
    And no rule was broken

  Scenario: The dispatcher alone loses the store
    Given a site with 3 entries and 4 minions
    When a job of 2 steps with 6 tasks is submitted
    And the dispatcher is cut from the store after 0.3 seconds
    Then another entry dispatches within 5 seconds
    And every other entry says that the job is "completed" within 10 seconds
    And no rule was broken

  Scenario: An entry that loses the store does not claim leadership
    When another entry of 10 sites is cut from the store for 4 seconds
    Then it has never claimed the office

  Scenario: A leadership claim that is stored without an acknowledgement takes effect
    Given a site with 3 entries and 4 minions
    When no append is answered
    And the dispatcher is killed after 0.1 seconds
    Then another entry dispatches within 4 seconds

  Scenario: An entry that becomes leader while it stops resigns at once
    Given a site with 3 entries and 4 minions
    When the dispatcher is killed and the entry that claims its office stops
    Then another entry dispatches within 0.6 seconds

  Scenario: A dispatcher that loses the store orders no machines
    Given a site with 1 entries, 4 minions and 0 spare machines
    When a job whose second step needs every machine is submitted
    And the dispatcher is cut from the store after 0.5 seconds
    And 3 seconds pass
    And 8 spare machines are added
    And 2 seconds pass
    Then no machine has been ordered since
    When the dispatcher reaches the store again
    And 2 seconds pass
    Then machines have been ordered since

  Scenario: Outcomes that are not stored yet are not lost with their minion
    Given a site with 3 entries, 8 minions and 4 spare machines
    When a job of 1 steps with 24 tasks is submitted
    And no append is carried out after 0.25 seconds
    And 6 seconds pass
    And the dispatcher is killed and appends are answered again
    Then every entry says that the job is "completed" within 15 seconds
    And 24 runs began
    And no rule was broken

  Scenario: Nothing is accepted while the store refuses
    Given a site with 3 entries and 4 minions
    When the store refuses every entry
    And a job of 1 steps with 6 tasks is submitted
    Then the job is refused as not run within 0.2 seconds

  Scenario: A submission is refused at once while the store is known to be unresponsive
    Given a site with 3 entries and 4 minions
    When the store is silent for every entry for 3 seconds
    And a job of 1 steps with 6 tasks is submitted
    Then the job is refused as not run within 0.2 seconds

  Scenario: A job that another entry has just taken can be cancelled at once
    Given a site with 3 entries and 4 minions
    When a job is taken by one entry and cancelled at another whose reading is slow
    Then the cancelling is confirmed
    And nothing of the job starts afterwards

  Scenario: An entry that can't read the log does not say that a job is unknown
    Given a site with 3 entries and 4 minions
    When the store is silent for every entry for 0.1 seconds
    And an unknown job is asked for
    Then the answer is that the log can't be read

  Scenario: Many queries about unknown jobs are answered
    Given a site with 3 entries and 4 minions
    When 50 unknown jobs are asked for within 0.2 seconds
    Then each is answered as unknown within 0.1 seconds

  Scenario: A cancelled job stops everywhere
    Given a site with 3 entries and 4 minions
    When a long-running job of 4 tasks is submitted
    And the job is cancelled after 1 seconds
    Then every entry says that the job is "cancelled" within 1 seconds
    And nothing runs within 1 seconds
    And no rule was broken

  Scenario: A team stays under its upper limit
    Given a site with 3 entries, 4 minions and an upper limit of 4000
    When a job of 1 steps with 12 tasks is submitted
    Then never more than 4 tasks run at a time
    And every entry says that the job is "completed" within 10 seconds

  Scenario: A successor counts runs of a cancelled job until they have stopped
    Given a site with 3 entries, 4 minions and an upper limit of 4000
    And minions take 1 seconds to stop a run
    When a long-running job of 4 tasks is submitted
    And the dispatcher is killed after 1 seconds
    And the job is cancelled after 0 seconds
    And another job of 12 tasks is submitted
    Then never more than 4 tasks run at a time
    And every entry says that the other job is "completed" within 10 seconds
    And no rule was broken

  Scenario: Long-running tasks are found again by a new leader
    Given a site with 3 entries and 4 minions
    When a long-running job of 4 tasks is submitted
    And the dispatcher is killed after 1 seconds
    And 8 seconds pass
    Then 4 runs began
    And 4 tasks run
    And no rule was broken

  Scenario: A new leader reads what a minion has ended since it restarted unlisted
    Given a site with 3 entries and 4 minions
    And 40 jobs that have ended
    When all minions restart and the platform still lists the earlier ones
    And a job of 1 steps with 4 tasks is submitted
    And all entries are killed once its tasks have ended unread, and start again
    Then every entry says that the job is "completed" within 15 seconds
    And no rule was broken
    And 44 runs began

  Scenario: A minion that restarts between two polls forgets no end that is unread
    Given a site with 3 entries and 4 minions
    And 40 jobs that have ended
    When minions restart within 0.2 seconds
    And a job of 1 steps with 24 tasks of 1 seconds is submitted
    And its minions restart once they have reported ends that the store takes slowly
    Then every entry says that the job is "completed" within 15 seconds
    And no rule was broken

  Scenario: A failure that is stored and not acknowledged counts once
    Given a site with 3 entries and 4 minions
    When every minion fails what it runs once
    And a job of 1 steps with 1 tasks is submitted
    And the dispatcher is killed as soon as a failure is stored
    Then every entry says that the job is "completed" within 10 seconds

  Scenario Outline: A failure counts once although its minion is forgotten and listed again
    Given a site with 3 entries and 4 minions
    When a job of 1 steps with 1 tasks of 9 seconds is submitted
    And its run fails and the minion is cut off before the failure is acknowledged
    And the minion is not listed for <unlisted> seconds and <event>
    Then every entry says that the job is "completed" within 15 seconds
    And 2 runs began
    And no rule was broken

    Examples:
      | unlisted | event                   |
      | 6        | the dispatcher stays    |
      | 6        | the dispatcher changes  |
      | 2        | the dispatcher changes  |

  Scenario: History that expired unread is replaced by the newest records
    Given a site with 3 entries and 4 minions
    When a job of 1 steps with 6 tasks is submitted
    And the history of the job log is dropped for an entry that was cut off
    Then every entry says that the job is "completed" within 6 seconds

  Scenario: A follower that reloads the log leaves a healthy leader in place
    Given a site with 2 entries and 4 minions
    And 12 jobs that have ended
    When a job of 3 steps with 12 tasks of 0.8 seconds is submitted
    And the history of the dispatch log expires for a follower that loads it in 5 seconds
    Then no other leader is elected within 6 seconds
    And every entry says that the job is "completed" within 1 seconds
    And 48 runs began
    And no rule was broken

  Scenario: A candidate that reloads the log dispatches only what it has read
    Given a site with 2 entries and 4 minions
    And 12 jobs that have ended
    When the history of the dispatch log expires for a candidate that loads it in 5 seconds
    Then it dispatches only once it has loaded the log

  Scenario Outline: Orders that are carried out late delay few jobs
    Given a site with 3 entries and <minions> minions, seed <seed>
    When 7 of 100 orders get no answer and are carried out 2 to 12 seconds later
    And 40 jobs of 2 steps with 8 tasks of 0.5 seconds are submitted within 8 seconds
    Then at least 0.9 of the jobs end within 2.2 seconds
    And every job is completed
    And no minion was ejected
    And no rule was broken

    Examples:
      | minions | seed |
      | 16      | 1    |
      | 16      | 2    |
      | 16      | 3    |

  Scenario Outline: A paused dispatcher starts nothing that its successor has started elsewhere
    Given a site with 2 entries and 2 minions
    When a job with one task of 9 seconds is submitted
    And the dispatcher is paused for 8 seconds while the assignment is being stored
    And its successor can't reach the assigned minion
    And the dispatcher resumes with <first> first
    Then the task has started once and no rule is broken after 3 seconds

    Examples:
      | first     |
      | responses |
      | timers    |

  # The responses of all minions wait on the full link of the dispatcher.
  Scenario Outline: Responses of minions that are only late end no running work
    Given a site with 3 entries and 6 minions, seed <seed>
    And a job of 6 long-running tasks is at work
    When the responses of all minions take 0.7 to 1.1 seconds for 15 seconds
    And 10 jobs of 1 step of 2 tasks of 0.8 seconds arrive over 8 seconds
    Then no run was stopped or lost its lease
    And every job is completed
    And no task has started twice

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Each step would wait for the store again.
  Scenario Outline: The next step of a job starts while the store is away
    Given a site with 3 entries and 6 minions
    When a job of 3 steps with 4 tasks of <task> seconds is submitted
    And 0.3 seconds pass
    And the store is silent for every entry for <outage> seconds
    Then 12 runs began
    When the store answers again after 0.5 seconds
    Then every entry says that the job is "completed" within 3 seconds
    And 12 runs began
    And no rule was broken

    Examples:
      | task | outage |
      | 0.5  | 2      |
      | 1.5  | 6      |

  Scenario: A step that started while the store was away goes on under a new leader
    Given a site with 3 entries and 6 minions
    When a job of 2 steps with 4 tasks of 2 seconds is submitted
    And 0.3 seconds pass
    And the store is silent for every entry for 2.5 seconds
    Then 8 runs began
    When the dispatcher is killed after 0.1 seconds
    And the store answers again after 0.2 seconds
    Then every entry says that the job is "completed" within 10 seconds
    And 8 runs began
    And no rule was broken

  Scenario Outline: A new leader waits for a step that an unresponsive minion has started
    Given a site with 3 entries and 6 minions
    When a job of 2 steps with 4 tasks of 3 seconds is submitted
    And <healthy> seconds pass
    And the store is silent for every entry for <outage> seconds
    And the dispatcher is killed and its minion is unreachable for 3.2 seconds
    Then every entry says that the job is "completed" within 15 seconds
    And 8 runs began
    And no rule was broken

    Examples:
      | healthy | outage |
      | 0.3     | 3.5    |
      | 3.5     | 0.01   |

  Scenario: Without stored reservations a new leader starts such a step again
    Given a site with 3 entries and 6 minions
    And a site without the mechanism "reserved assignments are stored before starts"
    When a job of 2 steps with 4 tasks of 3 seconds is submitted
    And 3.5 seconds pass
    And the store is silent for every entry for 0.01 seconds
    And the dispatcher is killed and its minion is unreachable for 3.2 seconds
    And 10 seconds pass
    Then a rule was broken

  Scenario: A step whose reserved minion is full starts elsewhere
    Given a site with 3 entries and 6 minions
    When a job of 2 steps with 4 tasks of 1 seconds is submitted
    And the minions of that job are full with other work from then on
    Then every entry says that the job is "completed" within 5 seconds
    And no rule was broken

  Scenario: Random faults neither lose nor duplicate work
    Given 12 sites with troubles drawn from seed 4711
    When each site runs for 25 seconds and then in peace
    Then every accepted job of every site is completed
    And no site broke a rule

  Scenario: Random faults with moving machines neither lose nor duplicate work
    Given 6 sites with spare machines and troubles drawn from seed 815
    When each site runs for 25 seconds and then in peace
    Then every accepted job of every site is completed
    And no site broke a rule

  # 5003, 5027: an ended run's start order was repeated, and planning stopped.
  Scenario Outline: Pauses, slow links and late orders neither lose nor duplicate work
    Given <count> sites with delays drawn from seed <seed>
    When each site runs for 25 seconds and then in peace
    Then every accepted job of every site is completed
    And no site broke a rule

    Examples:
      | count | seed |
      | 1     | 5003 |
      | 1     | 5027 |
      | 8     | 5200 |

  Scenario: Former leaders that go on neither lose nor duplicate work
    Given 6 sites with stale leaders drawn from seed 20000
    When each site runs for 25 seconds and then in peace
    Then every accepted job of every site is completed
    And no site broke a rule

  Scenario Outline: Random schedules break a rule on a variant without a mechanism
    Given 1 sites with delays drawn from seed <seed>
    When each site runs for 25 seconds without the mechanism "<mechanism>"
    Then some site broke a rule

    Examples:
      | mechanism                                        | seed |
      | leases are waited for                            | 104  |
      | outcomes are stored before they are acknowledged | 104  |
      | assignments are stored before starts             | 103  |
      | minions check fencing tokens                     | 157  |
      | start orders of removed runs are dropped         | 108  |
