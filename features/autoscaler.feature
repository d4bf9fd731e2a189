Feature: Autoscaler
  Guards against pools that are short of machines while machines stand idle in
  other pools, and against paid machines that no pool needs. This happens if
  demand is forecast too late, counts work that a team may not run, or ignores
  machines that are still starting.

  Scenario: A pool that peaks gets the spare machines at once
    Given pools of 5 machines and 10 spare ones
    When one pool needs 300 cores
    Then it has machines for 300 cores after the first round

  Scenario: A pool that peaks gets idle machines of other pools
    Given pools of 8 machines and 0 spare ones
    When one pool needs 300 cores
    Then it has machines for 300 cores after the first round

  Scenario: A pool at the start of a demand peak gets machines for the forecast demand
    Given pools of 5 machines and 10 spare ones
    When one pool needs 160 cores for jobs that have just begun to arrive
    Then it has machines for 300 cores after the first round
    When one pool still needs 160 cores 3 seconds later
    Then it gets no more than 2 machines in the round

  Scenario: Two pools that need more than there is share it by need
    Given pools of 8 machines and 0 spare ones
    When two pools need 600 cores and one of them has taken 16 machines
    Then machines of the larger pool are emptied for the smaller one

  Scenario: A machine that stands idle is given back after a while only
    Given pools of 8 machines and 0 spare ones
    When nothing is needed for 1 seconds
    Then no machine is given back
    When nothing is needed for 1 seconds
    Then 6 machines are given back

  Scenario: Machines that are still starting are not replaced
    Given pools of 6 machines of which all are down, and 6 spare ones
    When nothing is needed
    Then no machine is moved

  Scenario: Queues that peak in turn are served nearly as if they had every machine
    Given four queues that peak in turn at four times their mean, seed 5
    When machines follow demand
    And every pool keeps an even share of the machines
    And every pool has every machine
    Then at least 0.9 of what every machine would serve in time is served
    And an even share serves less than 0.75 of it
    And machines are paid for at most 1.05 of the time of an even share

  Scenario: A maintenance wave takes idle machines first and none while a pool is short
    Given a wave over 6 machines with at most 2 at once and 60 seconds
    When a pool is short
    Then no machine of the wave is chosen
    When a pool has just what it needs
    Then 1 machines of the wave are chosen
    When a pool has just what it needs and a machine of it is being emptied
    Then no machine of the wave is chosen
    When a pool has machines to spare
    Then the 2 idle machines of the wave are chosen first

  Scenario: A maintenance wave that runs out of time takes machines while a pool is short
    Given a wave over 6 machines with at most 2 at once and 10 seconds
    When a pool is short
    Then 2 machines of the wave are chosen

  Scenario: A maintenance wave that runs out of time takes machines of short pools last
    Given a wave over 6 machines with at most 2 at once and 10 seconds
    When the pool of its idle machines is short and another is not
    Then no idle machine of the wave is chosen

  Scenario: Work above the upper limit of a team does not count as demand
    Given a team with an upper limit of 8 cores whose jobs need 64 cores
    Then its pool's demand is 8 cores

  Scenario: Jobs beyond the share of a team do not count as demand
    Given a team that sends 40 jobs at once with a weight of 2
    Then its pool's demand is that of the jobs within its share
