Feature: Reading the platform's host list
  An entry that parses an unchanged list of 12,000 hosts every second spends
  most of its budget on it. An entry that misses a change of the list sends
  work to a host that is leaving.

  Scenario: An unchanged list is not sent again
    Given a host list of 3 hosts and a reader
    When 4 seconds pass at the host list
    Then the reader was told 1 list
    And the server sent the whole list 1 time
    And the last read is at most 1 second old

  Scenario: A change is reported with the next read
    Given a host list of 3 hosts and a reader
    When host 2 starts to leave
    And 2 seconds pass at the host list
    Then the reader was told 2 lists
    And the reader sees that host 2 is leaving

  Scenario: A server without entity tags is read in full each time
    Given a host list of 3 hosts without entity tags and a reader
    When 2 seconds pass at the host list
    Then the reader was told 1 list
    And the server sent the whole list 3 times
    When host 2 starts to leave
    And 2 seconds pass at the host list
    Then the reader was told 2 lists
    And the reader sees that host 2 is leaving
