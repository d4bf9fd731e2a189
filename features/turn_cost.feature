Feature: Cost of one turn of the event loop
  A leader that holds its event loop for longer than the leader timeout is
  replaced, and its successor has the same work to do. Guards against work in
  one turn that grows faster than what is due now: lines of code are counted,
  not seconds. The sizes are the largest that an entry accepts, or more than
  enough to show how the cost grows, beside a tenth of them.

  Scenario Outline: A gang is planned at a cost in proportion to its tasks
    Given a pool of 8 minions with room for everything
    When gangs of 409 and of 4096 tasks <case> are planned
    Then the larger one took at most <ratio> times as many lines

    Examples:
      | case               | ratio |
      | that fit           | 11    |
      | that fit in a rack | 11    |
      | that fit no rack   | 11    |

  Scenario: A gang that does not fit costs the same in each pass, whatever its size
    Given a pool of 8 minions with room for everything
    When gangs of 409 and of 4096 tasks that do not fit are planned again
    Then the larger one took at most 1 times as many lines

  Scenario Outline: Tasks of one step are placed at a cost in proportion to them
    Given a pool of 300 minions with room for everything
    When steps of 409 and of 4096 <kind> tasks are planned
    Then the larger one took at most 11 times as many lines

    Examples:
      | kind         |
      | short        |
      | long-running |

  Scenario: A report is applied at a cost in proportion to its runs
    Given a pool of 1 minions with room for everything
    When it reports the start of 409 and of 4096 tasks
    Then the larger one took at most 11 times as many lines

  Scenario: Members of a gang share a number above those of all earlier starts
    Given a pool of 8 minions with room for everything
    When a gang of which one member had start 5 is planned
    Then all its members have start 6

  Scenario: Members of a large gang are ordered as earlier orders are answered
    Given a pool of 1 minions with room for everything
    When a gang of 200 tasks is planned, and each order is answered
    Then at most 48 of its start orders were in flight
    And each of its tasks was ordered once, with the same number

  Scenario: A pass plans a bounded number of runs beside one gang
    Given a pool of 8 minions with room for everything
    When 5 gangs of 4096 tasks wait
    Then each pass plans at most 8191 runs, and the next one follows at once
    And all of them are planned after 5 passes

  Scenario: A pass costs the same beside any number of jobs that are not due
    Given a pool of 8 minions with room for everything
    When a pass is planned beside 20 and beside 2000 jobs that are due later
    Then the larger one took at most 1 times as many lines

  Scenario: A pass ranks a bounded number of the jobs that wait
    Given a pool of 1 minions with room for everything
    When 3000 jobs wait for a full pool
    Then each of 6 passes ranks 1024 jobs
    And each of the jobs was ranked twice

  Scenario: A wake-up is forgotten with its job
    Given a pool of 1 minions with room for everything
    When the first of two jobs that are due later is cancelled
    Then the next wake-up is that of the second one

  Scenario: Pending jobs are counted at the same cost beside any number of others
    When the pending jobs are counted beside 20 and 2000 that have ended
    Then the larger one took at most 1 times as many lines

  Scenario: Counts of jobs follow every record, in any order
    Given 400 random records of 30 jobs in 2 queues
    Then after each record the counts are those of the states of all jobs

  Scenario: Earlier steps are listed once each
    When a job is submitted whose second step names the first one 5000 times
    Then its second step comes after the first one only, also once it is stored

  Scenario: A job with too many steps is refused before they are decoded
    When jobs of 2000 and of 20000 steps are submitted
    Then both are refused, and the detail names 64 steps
    And the larger one took at most 1 times as many lines

  Scenario: Tickets are forgotten with their step or job, whatever others have
    Given tickets for steps of 20 and of 2000 other jobs
    When a step and a job are forgotten
    Then only the tickets of the other jobs are left
    And the larger one took at most 1 times as many lines

  Scenario: A pass ranks a bounded number of steps
    Given a pool of 1 minions with room for everything
    When 600 jobs of 64 steps wait for a full pool
    Then each of 3 passes ranks 256 jobs

  Scenario: The demand of many jobs is measured over several turns
    Given a site with spare machines whose store has 700 jobs of 64 steps
    When its demand is measured
    Then each of 5 or more turns measures at most 16450 steps
    And the demand is the one that is measured at once
    And no turn follows after the dispatcher has stopped

  Scenario: An error while demand is measured ends that measurement only
    Given a site with spare machines whose store has 10 jobs of 2 steps
    When an error ends a measurement of its demand in its second turn
    Then a later measurement is complete
