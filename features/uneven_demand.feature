Feature: Machines for uneven demand
  Guards against pools that are short of machines although spare ones stand idle,
  since machines that take no work count as theirs, and against targets that
  follow the size of single jobs, so that machines are taken from the next pool
  whose peak begins.

  Scenario: Queues that peak in turn with jobs of uneven size, beside maintenance
    Given four queues whose jobs vary in size by more than their mean, seed 11
    And a third of the machines of each pool is drained while it peaks
    When machines follow the work of the last arrivals and all machines count
    And machines follow the mean work of a queue's jobs and serving ones count
    And every pool of uneven demand has every machine
    Then the second serves more work in time than the first
    And with fewer moves
    And neither serves more than the third

  Scenario: The mean work of a queue's jobs is learned before it is used
    Given a queue with 4 jobs of 10 core-seconds and 3 of 100
    Then a new job of 100 core-seconds is expected to be 100 core-seconds
    When another job of 10 core-seconds arrives
    Then a new job of 100 core-seconds is expected to be 43.75 core-seconds

  Scenario: A new leader learns the mean work from the jobs that it takes over
    Given a queue with 20 jobs of 10 core-seconds and 20 of 100
    When the leader changes
    Then a new job of 100 core-seconds is expected to be 55 core-seconds

  Scenario: The backlog that a new leader finds is no peak that builds up
    Given a pool whose jobs have 160 cores of open work and none has just arrived
    Then it gets machines for 192 cores and no more, also as a peak begins

  Scenario Outline: Machines that take no work for a while do not count
    Given 5 machines of a pool
    When one of them <state>
    Then <count> of them are out of service

    Examples:
      | state                                 | count |
      | is drained for maintenance            | 1     |
      | reports that it drains                | 1     |
      | has missed 1 poll                     | 0     |
      | has missed 2 polls                    | 1     |
      | is ejected for 0.5 seconds            | 0     |
      | is ejected for 3 seconds              | 1     |
      | is under maintenance and listed so    | 0     |
      | has just moved in and has no minion   | 0     |

  Scenario: Minions that all seem unresponsive are not replaced
    Given 5 machines of a pool
    When 3 of them miss 2 polls
    Then 0 of them are out of service

  Scenario Outline: Machines that are short go first to work that can meet its objective
    Given 20 machines and two pools of which one wants 30 for work that is late
    When the other wants <fresh> machines for fresh work
    Then the other pool's target is <target> machines

    Examples:
      | fresh | target |
      | 10    | 10     |
      | 15    | 15     |

  Scenario Outline: The scarcer resource decides how many machines a pool needs
    Given tasks that take <cores> cores and <memory> MB of machines with 64 and 256000
    Then memory is scarcer by a factor of <factor>

    Examples:
      | cores | memory | factor |
      | 64    | 256000 | 1      |
      | 64    | 512000 | 2      |
      | 64    | 64000  | 1      |
