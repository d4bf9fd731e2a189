Feature: Following a stream of the store

  Scenario: A request that arrives while records are applied waits for a later read
    Given a feed that has been loaded
    And the feed's owner asks for everything stored, while it applies records
    When a read brings 1 record, 0.5 s after it was sent
    Then the owner has not been told that everything is read
    When the next read brings no record
    Then the owner has been told that everything is read

  Scenario: A read that is asked for behind a backlog follows without a wait
    Given a feed that has been loaded
    When a read brings 1 of 3 records
    And everything stored by now is asked for
    And a read brings the other records
    Then the next read does not wait for a record

  Scenario: A record of a page is not replaced by an older one
    Given a feed that loads, with a page that took 3 s
    When the records since then hold "key" at offset 5
    And the last page holds "key" at offset 7
    Then the feed has passed on "key" at offsets 7

  Scenario: A page that fails for long does not outlast the store's history
    Given a feed that loads, with a page that took 3 s
    When the records since then hold "key" at offset 5
    And pages fail for 3 s
    Then the feed reads the records since then again

  # Without this, keys are refused a second earlier than needed in an outage.
  Scenario Outline: A long poll that has waited in vain shows that nothing was stored
    Given a feed that has been loaded
    When a long poll of 1 second brings <records> records after <seconds> seconds
    Then what is known of the stream is <age> seconds old

    Examples:
      | records | seconds | age |
      | 0       | 1.0     | 0.1 |
      | 0       | 3.0     | 2.1 |
      | 0       | 0.4     | 0.4 |
      | 1       | 1.0     | 1.0 |
