Feature: Jobs that repeat
  A caller may repeat a job any number of times, now or over years. Guards
  against leaders that look at each occurrence: one job of a billion occurrences
  held the event loop of each leader for ever, and 24 jobs that repeat for a
  year held it for longer than the leader timeout at each take-over, so that no
  successor of a lost leader ever planned.

  Scenario Outline: A job costs the same however often it repeats
    When jobs that repeat 1000 and 1000000000 times, <due>, are taken over and planned 3 times
    Then the larger one took at most 1 times as many lines

    Examples:
      | due                   |
      | one of them due       |
      | all of them due       |
      | all due, gangs        |
      | none of them due      |
      | none due, gangs       |

  Scenario: The end of an occurrence costs the same after any number of others
    When one more occurrence ends after 200 and after 1992 others
    Then the larger one took at most 1.2 times as many lines
    And the stored progress of the larger one is at most 1.2 times as long

  Scenario: Occurrences that are due count as their times say
    Given 300 random starts and intervals, also fractions and none
    Then each count of due occurrences agrees with their times

  Scenario: Occurrences beyond those that wait open as others start
    Given a pool of 1 minions with room for 8 tasks
    When a job repeats 500 times with 1 task, all at once
    Then at most 64 of its occurrences wait at a time
    And all 500 occurrences run, the earliest first

  Scenario Outline: Each task of a job that repeats runs once
    Given a site with 3 entries and 6 minions whose store takes records of <bytes> bytes
    When a job of <steps> that repeats 200 times every 0.05 seconds is submitted
    And <fault> while its tasks run
    Then the large job is completed within 60 seconds
    And each occurrence of each task was done once
    And no block is left in the store
    And the store has refused no append
    And no rule was broken

    Examples:
      | bytes | steps              | fault                                      |
      | 65536 | 1 step of 2 tasks  | the dispatcher is killed 3 times           |
      | 65536 | 2 steps of 3 tasks | the dispatcher stops 3 times               |
      | 2048  | 1 step of 2 tasks  | the dispatcher is killed 3 times           |
      | 2048  | 2 steps of 3 tasks | the dispatcher is killed 3 times           |
      | 2048  | 2 steps of 3 tasks | the dispatcher stops 3 times               |
      | 2048  | 2 steps of 3 tasks | the store is away for 3 seconds            |
      | 2048  | 2 steps of 3 tasks | the history of the dispatch log is dropped |

  Scenario Outline: No end is lost where an append was cut off
    Given a job of 3 tasks that repeats 300 times, stored <stored>
    When its tasks end in random order, seed <seed>, and each append is cut off after each of its records
    Then a leader that takes it over finds each end that was stored before

    Examples:
      | stored               | seed |
      | in one record        | 1    |
      | in blocks of 4 tasks | 2    |
      | in blocks of 4 tasks | 3    |
      | in blocks of 7 tasks | 4    |

  Scenario: A job of an earlier version is read with all its finished occurrences
    Given stored progress with a row for each of 200 finished occurrences
    When a leader takes it over and stores it
    Then another leader finds the same 200 occurrences finished, without rows

  Scenario: Jobs are taken over in bounded pieces
    Given a site whose store has 9000 jobs that are not due
    And 3 jobs that are due
    When its leader is killed
    Then the successor takes over at most 4096 tasks in each of 3 or more turns
    And it plans nothing before it has taken over all of them
    And the jobs that are due are completed within 10 seconds

  Scenario: What callers do during a take-over counts
    Given a site whose store has 9000 jobs that are not due
    When its leader is killed, and during the take-over one job is cancelled and another submitted
    Then the cancelled job is unknown to the successor's dispatcher
    And the jobs that are due are completed within 10 seconds
