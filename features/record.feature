Feature: Records and signatures
  A forged or corrupted record must not change the state, which happens if its
  MAC or signature is not checked. No record, not even one of a newer writer,
  may stop the entry that reads it.

  Scenario: Every kind of record is read as it was written, in both formats
    Then a record of each kind survives encoding in formats 1 and 2
    And 200 random closing records survive encoding

  Scenario: Foreign and mutated bytes are refused and never raise
    Then 400 mutated or random byte strings are refused as records
    And mutated records pass when the record MAC is not checked
    And a record under another cluster key is refused with code record-mac

  Scenario: Records of newer writers are refused, not fatal
    Then authentic records of an unknown kind, format or field type are refused
      | kind | format | payload | code           |
      | 99   | 1      |         | record-kind    |
      | 3    | 9      |         | record-format  |
      | 3    | 1      |         | record-payload |
      | 3    | 2      | zz      | record-payload |
    And an authentic record with a further field is read

  Scenario: A newer format is written only when every member reads it
    Then members that read formats 2 and 2 make writers use format 2
    And members that read formats 2 and 1 make writers use format 1
    And members that read formats 9 and 3 make writers use format 2

  Scenario: Only an operator's key that has not expired signs a bundle
    Given a bundle signed by operator night until time 100
    Then the signed bundle is verified at time 50
    And at time 100 the signature is refused as expired
    And a key that expired at time 40 is refused as expired
    And a change of any character of the signed bundle is refused
    And the signature of another operator's key is refused as signature
    And that change passes when the operator's signature is not checked
