Feature: Members, suspicion and removal
  If a live entry is removed, its escrow tokens are unused until it joins again;
  if a failed entry is kept, they are unused for good. The first happens when a
  pause or a short outage is taken for a failure, the second when a peer that no
  longer answers is not suspected, removed and fenced.

  Background:
    Given the membership view of entry a with peers b, c

  Scenario: An unresponsive peer is suspected, then removed, then fenced
    When a hears c from time 0 to 60
    Then a suspected b before time 4 and removed it before time 7
    And a closed b no earlier than 33.5 seconds after its removal

  Scenario: A peer that refutes the suspicion through the log stays
    Given b refutes every suspicion
    When a hears c from time 0 to 60
    Then b is still a member
    And a suspected b 2 times

  Scenario: A pause of this entry leads to no suspicion of its peers
    When a hears c from time 0 to 2
    And a is paused until time 30
    And a hears b, c from time 30 to 32
    Then a suspected b 0 times

  Scenario: A refused connection is enough to suspect
    When a hears b, c from time 0 to 2
    And the host of b refuses connections at time 2
    And a hears c from time 2 to 3
    Then a suspected b 1 times

  Scenario: An entry that reads its own removal must join again
    When the log says that b removed a
    Then a is told to join again

  Scenario: Records of a removed author are ignored
    When the log says that b removed a
    And the log says that a removed b
    Then b is still a member

  Scenario: A joiner is complete once an older member has confirmed it
    Given a joiner d
    Then d is not confirmed
    When a, b, c confirm d
    Then d is confirmed and complete

  Scenario: A joiner whose older members were all removed waits for claims to expire
    Given a joiner d
    When b, c, a are removed and closed
    Then d is confirmed but complete only 3600 seconds after the last closing

  Scenario: An entry that missed claims makes none until they have lapsed
    Guards against running a request whose claim expired from the log unread.
    Given a joiner d
    When a, b, c confirm d
    And claims expire unread by d at time 10
    Then d is not complete at time 3600
    And d is complete at time 3620

  Scenario: A snapshot keeps the roster
    Then the fold of the roster snapshot equals the roster

  Scenario: Every membership payload is read back unchanged from its control record
    A refutation that lost its debts would open a lowered limit too early.
    Then each kind of membership payload is read back from its record
    And a refutation of an earlier writer has no debts and opens nothing
