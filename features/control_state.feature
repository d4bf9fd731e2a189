Feature: Fold of the control stream
  Entries that fold the same records into different states act on different
  limits, pools and keys. This happens if the result depends on the reader, if a
  restored snapshot lacks state, or if stale or late records take effect.

  Scenario: Any records give the same control state at every reader
    Then control states of all readers are equal in 80 random streams
    And that check fails for a fold whose order of minting differs by reader
    And that check fails for restores that lose steps

  Scenario: An accepted bundle version never reverts
    Then no control state goes back to an older bundle in 60 random streams
    And that check fails for a fold that ignores the expected version

  Scenario: Of racing operators exactly one wins
    Given two operators who sign version 2 of the same control bundle
    When both control bundle records land
    Then the first in the log is in force at every reader
    And the second had outcome stale
    And no expected version has two winners in 60 random streams
    And that check fails for a fold that ignores the expected version

  Scenario: Escrow tokens always add up to the limit
    A right minted twice lets a team run above its limit; one that is never
    minted again shrinks the team for good.
    Then minted and moved rights add up to every limit in 60 random streams
    And that check fails for a settlement that forgets earlier settlements
    And that check fails for a settlement that does not wait for others

  Scenario: A limit is split over the members in join order
    Given a control state with members e1, e2 and e3 and a limit of 8
    Then the minted rights are 3, 3 and 2
    When the control limit becomes 10
    Then the minted rights are 4, 4 and 2
    When the control limit becomes 9
    Then the minted rights are 3, 4 and 2

  Scenario: Only changed limits are reported
    Given a control state with members e1, e2 and e3 and a limit of 8
    When the control limit becomes 10
    Then the changed control limits are those of team sail alone
    When e1 suspects e2, e2 refutes it and e1 removes it
    Then no control limits are changed

  Scenario: A removed entry cannot remove others
    Two entries cut off from each other would otherwise remove each other.
    Given a control state with members e1, e2 and e3 and a limit of 8
    When e1 removes e2 and then e2 removes e1 in the control stream
    Then the control members are e1 and e3

  Scenario: A member that refutes its suspicion stays
    Given a control state with members e1, e2 and e3 and a limit of 8
    When e1 suspects e2, e2 refutes it and e1 removes it
    Then the control members are e1, e2 and e3

  Scenario: A record of an entry that lands after the entry has left has no effect
    An entry that was paused wakes up and sends what it had prepared.
    Given a control state with members e1, e2 and e3 and a limit of 8
    When e2 leaves and a bundle of its, with a limit of 5, lands late
    Then the control limit is 8

  Scenario: The state rebuilds members and escrow tokens of the ledgers
    An entry that bridged a gap by a snapshot would otherwise act on other
    rights than its peers.
    Then the ledgers' own fold agrees in 80 random streams
    And that check fails for a settlement that forgets earlier settlements
    And that check fails for a settlement that does not wait for others

  Scenario: A gap in the log is bridged by a snapshot, never backwards
    Given a control state with members e1, e2 and e3 and a limit of 8
    And a control reader that stopped there
    And a control snapshot taken there
    When the control limit becomes 10
    And a control snapshot is written to the stream
    And the control reader finds that only the snapshot is retained
    Then the control reader has the state of the others
    And restoring the old control snapshot is refused

  Scenario: Snapshots are due before records expire
    Given a control state with members e1, e2 and e3 and a limit of 8
    Then a control snapshot is not due while all records are retained
    And a control snapshot is due when half of the retained records are newer
    When a control snapshot is written to the stream
    Then a control snapshot is not due when half of the records are retained
    And a control snapshot is due after 2000 records or 900 seconds

  Scenario: A site that was down until its log expired starts again
    Given a control log whose 40 records have all expired
    When two entries find it empty and both write a bootstrap snapshot
    Then both control states are based, equal and without a bundle
    And an entry that has a bundle or finds records writes no bootstrap snapshot

  Scenario: Mutated snapshots never raise
    Then 300 mutated control snapshots are refused
    And one changed byte passes when the snapshot digest is not checked

  Scenario: A full bundle is written at regular intervals
    Then control bundles 2 to 130 are deltas but for versions 64 and 128

  Scenario: The planner's lease and assignments need the expected version
    Given a control state with members e1, e2 and e3 and a limit of 8
    When e1 and e2 both take the planner lease that nobody has
    Then the planner lease is held by e1
    When e1 and e2 both assign worker w0 from its first version
    Then worker w0 is in the pool that e1 named
