Feature: Malformed documents
  Guards against a document of a caller, a minion, the machine service, the
  policy service or the store that ends more than its own exchange. An exception
  that a decoder does not expect leaves a poll or a feed without its next read,
  so that it stops for good while the process looks healthy.

  Scenario Outline: A malformed <document> is rejected or read, and nothing else happens
    Given a valid <document>
    When each part of it is replaced by each malformed value, removed or repeated
    And its bytes are cut off or changed at 200 places, seed 31
    Then every variant is rejected or read

    Examples: documents
      | document             |
      | submitted job        |
      | minion report        |
      | start rejection      |
      | list of machines     |
      | policy answer        |
      | read of the log      |
      | page of records      |
      | append response      |
      | append conflict      |
      | minion record        |
      | configuration        |
      | wave                 |
      | stored job           |
      | stored progress      |
      | block of progress    |
      | takeover             |
      | state of a job       |
      | stored cursor        |
      | stored wave          |
      | stored wave machine  |
      | stored move          |
      | leader record        |
      | load report          |
      | entry record         |
      | settings             |

  Scenario Outline: A job with a negative amount is refused
    Given a valid submitted job
    When its first step has -1 for <field>
    Then it is refused as having a negative amount

    Examples: fields
      | field           |
      | cpu             |
      | mem_mb          |
      | gpu             |
      | estimate_ms     |
      | max_per_server  |
      | max_unavailable |
      | target_ms       |

  Scenario: A minion whose report can't be applied is polled again
    Given a site with 2 entries and 2 minions
    When a minion sends a report that can't be applied
    And a job of 1 steps with 4 tasks is submitted
    Then every entry says that the job is "completed" within 5 seconds
    And 1 error is counted and logged

  Scenario: A feed goes on after records that can't be applied
    Given a site with 2 entries and 2 minions
    When a record of the job log can't be applied
    And a job of 1 steps with 4 tasks is submitted
    Then every entry says that the job is "completed" within 5 seconds
    And 2 errors are counted, of which the first is logged

  Scenario: A feed loads the other records if one can't be applied
    Given a site with 2 entries and 2 minions
    When a job of 1 steps with 4 tasks is submitted
    Then every entry says that the job is "completed" within 5 seconds
    When a record of the job log can't be applied
    And another entry starts
    Then every entry says that the job is "completed" within 5 seconds
