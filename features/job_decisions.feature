Feature: Decisions of the dispatcher
  Guards against policies that serve a full site worse than simple ones.

  Scenario: Under five times the load more jobs meet their objective than in order of arrival
    Given arrivals at five times what a pool serves for 4 seconds, seed 7
    When they are served in the order of the dispatcher
    And they are served in order of arrival
    Then the dispatcher's order has at least twice as many in time
    And as many jobs have ended

  Scenario: Expected run times follow what ran and not what was declared
    Given 300 runs whose declared times are off by half, seed 3
    Then expected times are closer to the real ones than declared ones

  Scenario: A pool that peaks gets the spare machines at once
    Given pools of 5 machines and 10 spare ones
    When one pool needs 300 cores
    Then it gets 8 machines in the first round

  Scenario: A pool that peaks gets idle machines of other pools
    Given pools of 8 machines and 0 spare ones
    When one pool needs 300 cores
    Then it gets 7 machines in the first round

  Scenario: Two pools that need more than there is share it by need
    Given pools of 8 machines and 0 spare ones
    When two pools need 600 cores and one of them has taken 16 machines
    Then machines of the larger pool are emptied for the smaller one

  Scenario: A machine that stands idle is given back after a while only
    Given pools of 8 machines and 0 spare ones
    When nothing is needed for 2 seconds
    Then no machine is given back
    When nothing is needed for 2 seconds
    Then 8 machines are given back

  Scenario: A wave takes idle machines first and waits while a pool is short
    Given a wave over 6 machines with at most 2 at once and 60 seconds
    When a pool is short
    Then 1 machines of the wave are chosen
    When a pool is short and a machine of it is being emptied
    Then no machine of the wave is chosen
    When no pool is short
    Then the 2 idle machines of the wave are chosen first

  Scenario: A wave that runs out of time does not wait for quiet
    Given a wave over 6 machines with at most 2 at once and 10 seconds
    When a pool is short
    Then 2 machines of the wave are chosen

  Scenario: Filling work is slowed while a tail is near its target
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

  Scenario: The office is claimed after silence, not after an outage
    Given an entry that hears a dispatcher renew
    When nothing is heard for 1 seconds
    Then the office is not vacant
    When nothing is heard for 1.5 seconds
    Then the office is vacant
    When the log was unreadable for 10 seconds and is readable again
    Then the office is not vacant

  Scenario: Renewals count for an entry whose own claim has failed
    Given an entry that hears a dispatcher renew
    When its claim fails
    And the dispatcher renews for 5 seconds
    Then the office is not vacant

  Scenario: An office that another entry has won is not claimed again at once
    Given an entry that hears a dispatcher give up the office
    When another entry wins the claim
    Then the office is not vacant

  Scenario: A late renewal of the holder before does not unseat its successor
    Given an entry that hears a dispatcher renew
    When its claim is stored
    Then a renewal of the holder before changes nothing

  Scenario: The office is claimed at once by the host whose process held it
    Given an entry whose earlier process held the office
    Then the office is vacant

  Scenario: An ended job is not brought back by a record that was on its way
    Given a dispatcher whose job has ended and was dropped
    When an older record of the job's progress arrives
    Then the dispatcher does not take the job again
