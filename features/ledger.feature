Feature: Escrow of limits
  Escrow tokens that are counted twice let a team exceed its limit; tokens that
  are lost waste capacity. Both can follow from lost, repeated or reordered
  transfers, from lowered limits and from the removal of members.

  Scenario: A limit is split evenly in join order
    Given a ledger of entries a, b, c with 7 rights
    Then the entries hold 3, 2, 2 rights

  Scenario: A lost transfer is sent again and counts once
    Given a ledger of entries a, b with 6 rights
    When a gives 2 rights to b and the transfer is lost
    Then the entries hold 1, 3 rights
    When a sends its pending transfers to b 3 times
    Then the entries hold 1, 5 rights
    And a has 0 pending transfers to b

  Scenario: An old total that arrives late changes nothing
    Given a ledger of entries a, b with 6 rights
    When a gives 1 rights to b twice and the transfers arrive in reverse
    Then the entries hold 1, 5 rights
    And a has 0 pending transfers to b

  Scenario: An entry cannot transfer tokens that its running work holds
    Given a ledger of entries a, b with 6 rights
    When a acquires 2 rights
    Then a cannot give 2 rights to b
    And a cannot acquire 2 more rights

  Scenario: Tokens taken before a lowering are checked again
    Given a ledger of entries a, b with 6 rights
    When a acquires 3 rights
    And the limit changes to 2
    Then a may not use the rights it has taken

  Scenario: A removed member neither receives nor transfers tokens
    Given a ledger of entries a, b with 6 rights
    When a gives 1 rights to b and the transfer is lost
    And b is removed
    Then a cannot give 1 rights to b
    And a drops a transfer from b
    When a appends its closing of b
    Then the entries hold 6, 0 rights

  Scenario: A snapshot keeps accounts, removals and lowerings
    Given a ledger of entries a, b with 6 rights
    When the limit changes to 4
    And b is removed
    Then the fold of the snapshot equals the fold
    When a appends its closing of b
    Then the entries hold 4, 0 rights

  Scenario: An entry without demand transfers the tokens that another one needs
    Given a ledger of entries a, b, c with 12 rights
    When b waits for 10 rights and the entries exchange reports and requests
    Then b holds at least 11 rights and all hold 12

  Scenario: Two saturated entries share in proportion to demand
    Given a ledger of entries a, b with 12 rights
    When a waits for 30 rights and the entries exchange reports and requests
    And b waits for 30 rights and the entries exchange reports and requests
    Then b holds at least 5 rights and all hold 12

  Scenario: A single token alternates between saturated entries
    Given a ledger of entries a, b with 1 rights
    When a waits for 5 rights and the entries exchange reports and requests
    And b waits for 5 rights and the entries exchange reports and requests
    Then both entries have run work in turn

  Scenario: A report is not applied to partly updated accounts
    Given a ledger of entries a, b, c with 6 rights
    When c gives 2 rights to a and the transfer is lost
    And c sends its pending transfers to a 1 times
    And the limit changes to 2
    Then the entries hold 2, 1, -1 rights
    When c is removed
    And a appends its closing of c
    And b appends its closing of c
    And a hears that b has settled the lowering at offset 11
    Then a vouches for no lowering

  Scenario: Two lowerings folded at once are not reported as settled
    Given a ledger of entries a, b with 6 rights
    When the limit changes to 4
    And the limit changes to 2
    Then a vouches for no lowering
    When a hears that b has settled the lowering at offset 12
    Then a vouches for all lowerings
