Feature: Members, suspicion and removal
  Removing a live entry wastes its rights for a while; keeping a dead one
  wastes them for good.

  Background:
    Given the membership view of entry a with peers b, c

  Scenario: A silent peer is suspected, then removed, then closed
    When a hears c from time 0 to 60
    Then a suspected b before time 4 and removed it before time 7
    And a closed b no earlier than 33.5 seconds after its removal

  Scenario: A peer that refutes the suspicion through the log stays
    Given b refutes every suspicion
    When a hears c from time 0 to 60
    Then b is still a member
    And a suspected b 2 times

  Scenario: A pause of this entry makes nobody suspect
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

  Scenario: A joiner whose older members all died waits for claims to expire
    Given a joiner d
    When b, c, a are removed and closed
    Then d is confirmed but complete only 3600 seconds after the last closing

  Scenario: A snapshot keeps the roster
    Then the fold of the roster snapshot equals the roster

  Scenario: Every membership payload survives its control record
    A refutation that lost its debts would open a lowered limit too early.
    Then each kind of membership payload is read back from its record
    And a refutation of an earlier writer has no debts and opens nothing
