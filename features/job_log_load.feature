Feature: Loading the job log over a thin link

  The users' page allows 15 seconds until a site serves again after all its
  entries lost power. A link of 5 Mbit/s carries 625000 bytes a second.

  Scenario Outline: An entry on a thin link loads the job log
    Given a link of 625000 bytes/s to a store
    And 1100 jobs of 1100 bytes with <size> bytes of progress in the store
    When an entry starts
    Then it is ready within 15 s
    And the store has sent less than 3 times the log

    Examples: progress
      | size |
      | 100  |
      | 1100 |

  Scenario: Callers that use half of a thin link don't prevent a load
    Given a link of 312500 bytes/s to a store
    And 1100 jobs of 1100 bytes with 100 bytes of progress in the store
    When an entry starts
    Then it is ready within 15 s
    And the store has sent less than 3 times the log

  Scenario Outline: A load goes on with the page that failed
    Given a link of 6250000 bytes/s to a store
    And 1100 jobs of 1100 bytes with 100 bytes of progress in the store
    And the store <fault> in the middle of page 3 of the jobs
    When an entry starts
    Then it is ready within 15 s
    And only page 3 of the jobs was requested twice

    Examples: fault
      | fault       |
      | breaks      |
      | goes silent |

  Scenario Outline: A store that stops sending does not hold a load for ever
    Given a link of <rate> bytes/s to a store
    And 1100 jobs of 1100 bytes with 100 bytes of progress in the store
    And the store goes silent in the middle of page 1 of the jobs
    When an entry starts
    Then it is ready within 15 s

    Examples: rate
      | rate    |
      | 625000  |
      | 6250000 |

  Scenario: A slow read of new records makes progress
    Given a link of 625000 bytes/s to a store
    And an entry that is ready
    When 1000 jobs of 1000 bytes with 1000 bytes of progress are stored
    Then the entry knows all 1000 jobs within 15 s

  Scenario: Requests about unknown jobs don't hold up a slow read
    Given a link of 625000 bytes/s to a store
    And an entry that is ready
    And a caller that asks it about an unknown job every 0.5 s
    When 1000 jobs of 1000 bytes with 1000 bytes of progress are stored
    Then the entry knows all 1000 jobs within 15 s

  Scenario: Requests about unknown jobs don't transfer records twice
    Given a link of 625000 bytes/s to a store
    And an entry that is ready
    And a caller that asks it about an unknown job every 0.25 s
    When 1000 jobs of 1000 bytes with 1000 bytes of progress are stored
    Then the entry knows all 1000 jobs within 15 s
    And the store has sent less than 1.5 times the new records

  Scenario: Records that expire while an entry loads are not missed
    Given a link of 200000 bytes/s to a store
    And 1100 jobs of 1100 bytes with 100 bytes of progress in the store
    When an entry starts
    And after 4 s, 100 jobs of 1000 bytes with 100 bytes of progress are stored
    And after 4 s, the store's history expires
    Then the entry knows all 1200 jobs within 15 s
    And after 1 s, every page was requested once

  Scenario: A load in progress does not make the entry refuse submissions
    Given a link of 200000 bytes/s to a store
    And 1100 jobs of 1100 bytes with 1100 bytes of progress in the store
    When an entry starts
    And after 4 s, a caller submits a job
    Then the entry has sent the job to the store
