Feature: Snapshots written and used by entries
  Without snapshots an entry that starts after records have expired never becomes
  a member, and an entry that missed records keeps a different roster from its
  peers. A bootstrap snapshot written beside existing records discards state.

  Scenario: Only the first member writes a due snapshot
    Every member writing at once would multiply the load on the log.
    Given a site of 3 entries whose log keeps 20 records
    And entries 1 to 3 run with a bundle in force
    When 30 stale control records land
    And 5 seconds pass at the entries
    Then the entries' snapshots were written by entry 1 alone
    And the running entries agree on one roster

  Scenario: The next member takes over after 30 seconds
    A first member that cannot write would otherwise let the log expire.
    Given a site of 3 entries whose log keeps 20 records
    And entries 1 to 3 run with a bundle in force
    And entry 1 writes no snapshots
    When 30 stale control records land
    And 10 seconds pass at the entries
    Then the log holds no snapshot of an entry
    When 25 seconds pass at the entries
    Then the entries' snapshots were written by entry 2 alone

  Scenario: An entry that starts after records expired joins by a snapshot
    Given a site of 3 entries whose log keeps 20 records
    And entries 1 to 2 run with a bundle in force
    When 30 stale control records land
    And 5 seconds pass at the entries
    And entry 3 starts
    And 5 seconds pass at the entries
    Then the running entries agree on one roster
    And held rights of the running entries add up to every limit

  Scenario: A member that missed records goes on with the rebuilt roster
    It would otherwise keep rights by accounts that its peers have changed.
    Given a site of 3 entries whose log keeps 20 records
    And entries 1 to 3 run with a bundle in force
    When entry 3 finds that control records expired unread
    Then entry 3 neither is fresh nor counts buffered records as folded
    When 30 stale control records land
    And 5 seconds pass at the entries
    Then entry 3 has taken over a new roster
    And the running entries agree on one roster
    And held rights of the running entries add up to every limit

  Scenario: An entry of a site whose log expired starts it again
    Given a site of 3 entries whose log keeps 1 records
    And 5 foreign control records of which all have expired
    When entry 1 starts
    Then the running entries agree on one roster

  Scenario: An entry that finds unknown records writes no bootstrap snapshot
    It would wipe what the other entries have folded.
    Given a site of 3 entries whose log keeps 3 records
    And 5 foreign control records of which the last 3 are kept
    When entry 1 runs alone for 40 seconds
    Then the log holds no snapshot of an entry

  Scenario: A reader between a gap and its next read writes no bootstrap snapshot
    The log may hold records that it has not read yet.
    Given a site of 3 entries whose log keeps 3 records
    When entry 1 starts
    And reads of the log take 1 second
    And 10 foreign control records land
    And entry 1 goes on alone for 10 seconds
    Then entry 1 waits for a snapshot
    And no snapshot in the log is without members
