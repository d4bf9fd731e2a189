Feature: Jobs whose records come near the limits of the store
  The store refuses a record or an append above its limits as a whole, each time
  it is sent. Guards against a single job whose progress grows above the limit
  of one record: the dispatcher repeats the append for ever, so that no task of
  any job starts and no leadership is renewed. The limits of the
  sites here are a sixty-fourth of the usual ones.

  Scenario Outline: A large job does not stop the dispatching of others
    Given a site with 3 entries and 6 minions whose store takes records of 4096 bytes
    When <count> ordinary jobs are submitted
    And a job of <steps> with <tasks> small tasks each is submitted
    And <count> ordinary jobs are submitted
    Then each ordinary job is completed within 10 seconds
    And the large job is completed within 60 seconds
    And its progress was stored in blocks, which are deleted
    And the store has refused no append
    And no rule was broken

    Examples:
      | count | steps             | tasks |
      | 3     | 1 steps           | 300   |
      | 3     | 3 steps in turn   | 200   |
      | 3     | 3 steps at a time | 150   |

  Scenario Outline: A large job survives changes of the dispatcher
    Given a site with 3 entries and 6 minions whose store takes records of 4096 bytes
    When a job of 2 steps in turn with 200 small tasks each is submitted
    And <fault> while its tasks run
    And a job of 2 steps at a time with 120 small tasks each is submitted
    Then the large jobs are completed within 60 seconds
    And its progress was stored in blocks, which are deleted
    And each task of the large jobs was done once
    And the store has refused no append
    And no rule was broken

    Examples:
      | fault                                       |
      | the dispatcher is killed 3 times            |
      | the dispatcher is killed with 2 minions     |
      | the dispatcher stops 3 times                |
      | the store is away for 3 seconds             |
      | the history of the dispatch log is dropped  |

  Scenario Outline: A leader is lost within the append that divides the progress of a job
    Given a site with 3 entries and 6 minions whose store takes records of 4096 bytes and calls of 5120
    When a job of 240 tasks, 120 at a time, and then a gang of 250 is submitted
    And all entries are killed after <calls> of the calls that divide its progress, and start again
    Then the large job is completed within 60 seconds
    And its progress was stored in blocks, which are deleted
    And the store has refused no append
    And no rule was broken

    Examples:
      | calls |
      | 1     |
      | 2     |
      | 3     |

  Scenario: A leader deletes the blocks that its predecessor left behind
    Given a site with 3 entries and 6 minions whose store takes records of 4096 bytes
    When a job of 1 steps with 400 small tasks each is submitted
    And the dispatcher is killed as soon as the end of the job is stored without the deletion
    Then its progress was stored in blocks, which are deleted

  Scenario: A leader takes over a large job that an earlier version has stored whole
    Given a job of 2 steps of 700 tasks whose progress is stored in one record
    When a leader whose store takes records of 16384 bytes stores it
    And another leader reads it
    Then both know the same progress

  Scenario Outline: Progress is taken over from each place where an append was cut off
    Given a job of 300 tasks whose progress is stored <stored> with records of 16384 bytes
    When the end of an append that <change> is not stored, from any record on
    Then a leader that takes the job over reads each task as it was before or after
    And it reads <read>
    When it stores some progress whole or in blocks of <size> tasks
    Then another leader reads the same
    When it stores much progress
    Then another leader reads the same
    When it stores the end of the job
    Then no block is left

    Examples:
      | stored     | change                    | read                        | size |
      | not at all | divides it                | none of its blocks          | 16   |
      | not at all | divides it                | none of its blocks          | 7    |
      | whole      | divides it                | none of its blocks          | 16   |
      | whole      | divides it                | none of its blocks          | 7    |
      | in blocks  | stores some of its blocks | each block that was stored  | 16   |
      | in blocks  | stores some of its blocks | each block that was stored  | 7    |

  Scenario Outline: Failed and crashed runs of many tasks fit into records
    Given a job of <steps> steps of <tasks> tasks, <times> times, of which each has failed and crashed
    When a leader whose store takes records of <bytes> bytes stores it
    And another leader reads it
    Then both know the same progress
    And no record is larger than that
    When one more task fails
    Then only its block and the state are stored again

    Examples:
      | steps | tasks | times | bytes  |
      | 3     | 4000  | 1     | 262144 |
      | 64    | 60    | 40    | 65536  |
      | 1     | 1     | 5000  | 16384  |

  Scenario: Names of crashed minions are left out where a block would not fit
    Given a job of 1 steps of 4000 tasks, 1 times, of which each has crashed 5 minions with long names
    When a leader whose store takes records of 262144 bytes stores it
    And another leader reads it
    Then both know the same counts of crashes
    And no record is larger than that

  Scenario: An append of many records is divided, with a renewal in each call
    Given a site with 3 entries and 6 minions whose store takes calls of 4096 bytes
    When 20 jobs of 20 small tasks each are submitted at once
    And the dispatcher is killed after 1 second
    Then all these jobs are completed within 60 seconds
    And some append was divided
    And each call after the first one renewed the leadership
    And the store has refused no append
    And no rule was broken

  Scenario: A job whose record the store can't take is refused with the limit
    Given a site with 3 entries and 6 minions whose store takes records of 4096 bytes
    When a job with a long list of labels is submitted beside ordinary ones
    Then it is refused as malformed, and the detail names 4096 bytes
    And the ordinary ones are accepted

  Scenario: A store that refuses the size of a record for ever stops all jobs
    Given a site with 3 entries and 6 minions whose store takes records of 4096 bytes
    And dispatchers that do not divide progress
    When a job of 1 steps with 800 small tasks each is submitted
    And 3 ordinary jobs are submitted
    And 10 seconds pass
    Then no ordinary job has started
