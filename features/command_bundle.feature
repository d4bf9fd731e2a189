Feature: Operator commands for bundles
  A roll that reports success before every entry has the bundle in force leaves
  revoked keys working at the others. A roll that reports no result is repeated
  by the operator, which must not publish the bundle a second time.

  Scenario: Exit codes tell what happened to local files
    Given operator files for the guild
    Then these bundle commands end so
      | command                                               | code | output             |
      | check guild.ini                                       | 0    | version 1 of guild |
      | check broken.ini guild.ini                            | 1    | did you mean       |
      | check missing.ini                                     | 7    | missing.ini        |
      | keygen night --out night.pem                          | 0    | night =            |
      | keygen night --out night.pem                          | 7    | night.pem          |
      | sign guild.ini --operator night --key night.pem --out signed.ini | 0 |            |
      | sign broken.ini --operator night --key night.pem      | 1    | limt               |
      | sign guild.ini --operator night --key guild.ini       | 3    | guild.ini          |
      | diff signed.ini next.ini                              | 0    | limit falls        |
      | diff signed.ini next.ini --json                       | 0    | "new": 150         |
      | plan next.ini --against signed.ini                    | 0    | starts nothing     |
      | plan signed.ini --against next.ini                    | 1    | version 2          |
      | roll guild.ini                                        | 3    | no signature       |
      | roll signed.ini --entry 127.0.0.1:9 --timeout 0.1                   | 6    | 127.0.0.1:9        |
    And the private key file is readable by its owner only

  Scenario: A roll is safe to repeat and waits for every entry
    Given an operator site whose entries follow after 3 polls
    When a bundle of version 2 is rolled, and rolled again
    Then both rolls succeed and the site accepted it once
    And the first roll waited until the last entry followed

  Scenario: A roll whose answers get lost is posted again
    Given an operator site whose entries follow after 1 polls
    And the operator site loses the next 2 answers
    When a bundle of version 2 is rolled, and rolled again
    Then both rolls succeed and the site accepted it once

  Scenario: A roll that is not in force everywhere names the entries
    Given an operator site whose entries follow after 1000 polls
    When a bundle of version 2 is rolled, and rolled again
    Then both rolls end as pending and name entry-2

  Scenario: An operator whose bundle loses a race is told which operator won
    Given an operator site whose entries follow after 1 polls
    When operators night and day roll different bundles of version 2
    Then the roll of day ends as lost and names operator night

  Scenario: Status and history are asked of the entries in turn
    Given three operator entries: one refuses with 503, one sends no JSON, one serves
    Then bundle status prints "entry-1 version 4 fresh" and ends with code 0
    And bundle history prints "version 4 by night" and ends with code 0
    And without the serving entry bundle status ends with code 6 and names both

  Scenario: The operators' token is sent, and a plan without a bundle to compare names --against
    Given an operator entry that asks for token "moth" and tells no bundle text
    Then bundle status ends with code 3 and prints "operator token needed"
    And with the token in a file bundle status ends with code 0
    And with the token in a file bundle plan ends with code 6 and names --against
