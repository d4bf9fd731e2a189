Feature: Log client
  A record that is delivered twice, late or not at all gives an entry a different
  state from its peers. An append that is retried under a new id after a lost
  answer takes effect twice.

  Scenario: Outages, slow answers and lost answers neither lose nor repeat records
    Then in 60 random runs the log clients deliver every record once, in order
    And that log check fails for a client that passes over broken transfers
    And in 60 random runs every append takes effect exactly once
    And that log check fails for a client that retries under a new id

  Scenario: An append whose answer is lost is found in the log instead of retried
    Given a log client of a log that loses the next 2 answers
    When it appends 2 records
    Then the log holds 2 records, each append has its offset
    And a client that retries without looking leaves more than 2 records

  Scenario: Appends wait while the log cannot be read
    Peers that take the outage for everyone's rely on nothing being appended.
    Given a log client of a log that is out
    When it appends 2 records and 5 seconds pass
    Then the log client is not reachable and has sent no append
    When the log is back
    Then the log holds 2 records, each append has its offset

  Scenario: A log that comes back is read at once
    A read sent during the outage is never answered; waiting for it kept
    entries from the log for up to 16 seconds.
    Given a log client of a log that is out
    When 25 seconds pass for the log client
    And the log is back and 3 seconds pass for the log client
    Then the log client has read the head

  Scenario: A log slower than the time between reads is still read
    Given a log client of a log that answers after 6 seconds
    When 14 seconds pass for the log client
    Then the log client has read the head

  Scenario: Only one append is in progress and waiting items share a record
    Given a log client of a log that answers after 0.3 seconds
    When it offers 10 items, one by one, for batches
    Then all 10 items are in the log in fewer than 4 records

  Scenario: The read of the head counts from when it was sent
    Given a log client of a log that answers after 0.4 seconds
    When it has read the head
    Then the head read is at least 0.4 seconds old

  Scenario: A reader that was away for too long continues after the gap
    Given a log client of a log that is out
    When 20 records are appended by others and 5 are retained
    Then the log client reports a gap up to record 15 and delivers 5 records

  Scenario: Appends keep to their rate
    Given a log client of a log that answers after 0 seconds
    When it appends 40 records
    Then they took at least 1.7 seconds of its clock

  Scenario: Crossed answers and records of another stream are refused
    Given a log client of a log that answers after 0 seconds
    When a claims record lands in the control stream
    Then the log client counts 1 refused record and delivers the next one
    And answers with records from another offset are refused
