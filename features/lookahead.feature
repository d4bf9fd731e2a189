Feature: Look-ahead placement
  Guards against large tasks that wait while smaller tasks of later jobs fill
  each gap of a full pool, and against holds that leave room idle for runs that
  do not end, for minions that are lost, or where there is ample room.

  Scenario: Large tasks of a full pool wait less, and small ones hardly longer
    Given small tasks beside a few large ones on a full pool
    When they are placed with and without look-ahead
    Then no policy beats the bound
    And the small tasks wait at most 0.06 seconds longer
    And the large tasks wait at least a fifth less

  Scenario: Smaller tasks of later jobs leave the held room alone
    Given 1 minions full of runs of 1 and 8 seconds, and a large task that waits
    When half of the short runs have ended and a small job arrives
    Then the small job waits
    And it starts at once without look-ahead

  Scenario: A run that outlives its expected end moves the hold
    Given 1 minions full of runs of 1 and 8 seconds, and a large task that waits
    When half of the short runs have ended and a small job arrives
    Then the hold begins later after the expected end of the others
    And no run has been ordered to stop

  Scenario: A minion that is lost is removed from the hold
    Given 2 minions full of runs of 1 and 8 seconds, and a large task that waits
    When half of the short runs have ended and a small job arrives
    And the minion of the hold is lost
    Then no room of it is held

  Scenario: A new leader holds the same minion
    Given 1 minions full of runs of 1 and 8 seconds, and a large task that waits
    When half of the short runs have ended and a small job arrives
    And another leader takes over
    Then it holds room of the same minion and the small job waits

  Scenario: A hold lapses if nothing ends
    Given 1 minions full of runs of 1 and 8 seconds, and a large task that waits
    When half of the short runs have ended and a small job arrives
    And nothing ends for 1.6 seconds
    Then the hold has lapsed and the small job starts

  Scenario: Ample room is used as without look-ahead
    Given small and large tasks on a pool with ample room
    When they are placed with and without look-ahead
    Then each task starts at the same time on the same minion
