Feature: Decisions of the dispatcher
  Guards against dispatcher policies that meet fewer objectives on a full site
  than simple ones such as order of arrival, and against leader elections that
  are started without need or undone by late records.

  Scenario: Under five times the load more jobs meet their objective than in order of arrival
    Given arrivals at five times what a pool serves for 4 seconds, seed 7
    When they are served in the order of the dispatcher
    And they are served in order of arrival
    Then the dispatcher's order has at least twice as many in time
    And as many jobs have ended

  Scenario: A team that sends many times its usual does not displace the others
    Given a pool that serves all teams, of which one now sends ten times its weight
    When they are served in the order of the dispatcher
    And they are served in order of arrival
    Then the other teams have at least 0.95 of their jobs in time
    And in order of arrival they have less than half of them in time
    And as many jobs have ended

  Scenario: A team that was idle may send a bounded burst
    Given a team with a weight of 2 jobs a second that was silent for 10 seconds
    Then 4 jobs that it sends at once are within its share
    And the next one is not

  Scenario: Expected run times follow what ran and not what was declared
    Given 300 runs whose declared times are off by half, seed 3
    Then expected times are closer to the real ones than declared ones

  Scenario: Filling work is slowed while tail latency is near its target
    Given a minion that serves with a tail of 180 of 200 ms beside filling work
    Then the filling work is slowed to 50 percent
    When the tail falls to 60 ms
    Then the filling work is sped up to 70 percent

  Scenario: A task with a budget is stopped only while its step is complete
    Given a long-running step of 3 tasks of which 1 may be away
    When all are at work
    Then a task of it may be stopped
    When one is not at work
    Then no task at work may be stopped

  Scenario: Leadership is claimed after the leader timeout, not after a log outage
    Given an entry that hears a dispatcher renew
    When nothing is heard for 1 seconds
    Then the office is not vacant
    When nothing is heard for 1.5 seconds
    Then the office is vacant
    When the log was unreadable for 10 seconds and is readable again
    Then the office is not vacant

  Scenario: An entry whose own reads are stuck does not claim leadership
    Given an entry that hears a dispatcher renew
    When its reading is stuck for 5 seconds
    Then the office is not vacant

  Scenario: The leader's renewals count for an entry whose own claim has failed
    Given an entry that hears a dispatcher renew
    When its claim fails
    And the dispatcher renews for 5 seconds
    Then the office is not vacant

  Scenario: Leadership that another entry has won is not claimed again at once
    Given an entry that hears a dispatcher give up the office
    When another entry wins the claim
    Then the office is not vacant

  Scenario: A late renewal of the previous leader does not replace the new leader
    Given an entry that hears a dispatcher renew
    When its claim is stored
    Then a renewal of the holder before changes nothing

  Scenario: Leadership is claimed at once by the host whose earlier process held it
    Given an entry whose earlier process held the office
    Then the office is vacant

  Scenario Outline: An entry with a slow link does not lead while a fast one is there
    Given 6 entries with 100 Mbit/s and 26 entries with 5 Mbit/s follow a dispatcher
    When the dispatcher <end>
    Then an entry with a fast link is the first candidate in each of 200 draws

    Examples:
      | end                      |
      | is silent                |
      | has resigned             |
      | has never been there     |

  Scenario: A site with slow links only has a leader without much delay
    Given 0 entries with 100 Mbit/s and 32 entries with 5 Mbit/s follow a dispatcher
    When the dispatcher is silent
    Then the first candidate comes within 2 seconds in each of 200 draws

  Scenario: A late record of an ended job does not restore the job
    Given a dispatcher whose job has ended and was dropped
    When an older record of the job's progress arrives
    Then the dispatcher does not take the job again

  Scenario Outline: A start order without a response is not repeated once its run has ended
    Given a dispatcher whose start order has no response yet
    When <event>
    And planning goes on for 5 seconds
    Then that start order is not sent again

    Examples:
      | event                                |
      | the run ends and its job is dropped  |
      | the run is lost with its minion      |

  Scenario: A repeated start that comes after the end of its run is no failure of the minion
    Given a dispatcher whose start order has no response yet
    When the order is repeated and the minion has already ended that run
    Then no failure of the minion is counted
    And the run is not started again before its outcome is known

  # A start on a full link is carried out late; its repetition fails to connect.
  Scenario Outline: A repeated start without effect stops no run that the first one has started
    Given a dispatcher whose start order has no response yet
    When the order is repeated with the outcome "<outcome>"
    Then no stop is ordered before the next report
    And the run goes on if the next report shows it
    And no stop is ordered if the report after that shows it too

    Examples:
      | outcome  |
      | not-sent |
      | busy     |
      | no-room  |
      | too-late |

  Scenario: A start that was repeated without effect is stopped if no report shows it
    Given a dispatcher whose start order has no response yet
    When the order is repeated with the outcome "not-sent"
    Then the run is stopped if the next report does not show it

  # Moved machines have new minions; the platform lists the old ones for seconds.
  Scenario Outline: Minions that no machine runs do not count for a majority
    Given a leader that knows 10 minions, of which <confirmed> confirm its token
    And a machine service that <knowledge>
    Then the leader <may> extend leases without the store

    Examples:
      | confirmed | knowledge                       | may     |
      | 6         | has not been read               | may     |
      | 5         | has not been read               | may not |
      | 5         | lists only 8 of them            | may     |
      | 4         | lists only 8 of them            | may not |

  Scenario Outline: The patience of polls follows how the responses of all minions fare
    Given 20 minions whose responses take <seconds> seconds and <lost> of 10 get lost
    Then responses are judged "<condition>"
    And a poll waits from <least> to <most> seconds for its response

    Examples:
      | seconds | lost | condition | least | most |
      | 0.005   | 0    | normal    | 0.6   | 0.6  |
      | 0.005   | 1    | lossy     | 0.2   | 0.3  |
      | 0.005   | 6    | slow      | 2.4   | 2.4  |
      | 0.9     | 0    | slow      | 2.4   | 2.4  |
      | 0.9     | 1    | slow      | 2.4   | 2.4  |

  Scenario: One minion without responses is no sign of lost responses
    Given 20 minions whose responses take 0.005 seconds and 0 of 10 get lost
    When one minion does not respond 10 times
    Then responses are judged "normal"

  Scenario: A stored record does not repeat where tasks that are done have run
    Given stored progress of 4 placed tasks
    When 3 of them are done
    Then its record names 1 minion
    When the whole step is done
    Then its record names 0 minions
    And its record has no empty fields

  Scenario: Records of the previous build are read, and it reads the new ones
    Given a record of the previous build with 4 placed tasks of which 3 are done
    Then it is read with 3 tasks done and 4 tasks placed
    And a record with empty fields and one without them mean the same

  Scenario: Dropped assignments neither restart a done task nor reuse a number
    Given a job of 4 tasks of which 3 are done in term 3
    When the dispatcher of term 4 takes the job over while its last minion is silent
    Then only the task that is not done may still run
    When the lease of that run has expired
    Then exactly that task starts again, under a number above those of term 3

  Scenario: A run of a done task that a silent minion still has is stopped
    Given a job of 4 tasks of which 3 are done in term 3
    When the dispatcher of term 4 takes the job over
    And a minion reports a run of a task that is done
    Then that run is stopped and does not count as one of the job

  Scenario: No start goes over a capacity that shrinks while it is stored
    Given a dispatcher that stores the assignments of 4 tasks
    When the capacity shrinks to 2 tasks and the assignments are stored
    Then 2 starts are ordered
    And after it has grown again, the other tasks are ordered

  Scenario Outline: A run that has failed counts once however often its end is listed
    Given a dispatcher whose run has failed
    When <event>
    And the minion lists the same end again
    Then the task has 1 failed attempt
    When its next run fails
    Then the task has 2 failed attempts

    Examples:
      | event                                             |
      | its minion is forgotten before that is stored     |
      | its minion is forgotten after that is stored      |
      | another minion answers at its address for a while |
      | a successor reads the progress without the cursor |

  Scenario: Members of a gang that fail in one run count as one failed attempt
    Given a dispatcher whose gang of 3 tasks runs
    When 3 members of the gang fail in that run
    Then the task has 1 failed attempt

  Scenario Outline: A gang of which some members are stored as done does not start again
    Given a job of a gang of 4 tasks and <steps> later steps, of which members <done> are stored as done
    When a dispatcher takes the job over and plans
    Then it starts <steps> tasks, none of them of the gang
    And it stores the job as "<state>"

    Examples:
      | steps | done    | state     |
      | 1     | 0 and 1 | running   |
      | 1     | 3 and 3 | running   |
      | 0     | 1 and 2 | completed |

  Scenario: Starts on one minion wait until earlier ones are confirmed
    Given a dispatcher with one minion that confirms no start yet
    And a job of 100 small tasks and a gang of 40
    When it plans for 1 seconds
    Then it has ordered 32 starts of the job and 40 of the gang
    When the minion confirms what was ordered, round by round
    Then all 100 tasks have started once

  Scenario: The end of a task costs the same however many tasks wait
    Given jobs of 100 and of 2000 tasks of which none has started
    When one task of each ends
    Then both ends looked at the same number of tasks

  Scenario Outline: A job whose last allowed run fails while its queue is unknown does not start again
    Given a dispatcher with 2 attempts whose run has failed once
    When <event>
    And its last allowed run fails and that is stored
    And its queue is known again
    Then the job has failed and no start is ordered

    Examples:
      | event                                         |
      | its queue is removed                          |
      | a successor without configuration takes over  |
