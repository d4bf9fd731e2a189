Feature: Events, metrics and log contents
  Guards against events and metrics that no page explains, which leave an
  operator without their meaning, against values that forge log lines, and
  against keys in the log, after which every key has to be changed.

  Scenario: The pages of events and metrics match the code
    Then docs/events.md lists exactly the events of the code
    And exactly the events marked as not emitted are emitted nowhere
    And docs/metrics.md lists exactly the instruments of the code
    And every instrument has a source

  Scenario: Modules log numbered events only
    Then no module but event uses the logger

  Scenario: A value can't forge a log line
    When an event with a value of two lines is logged
    Then the log shows one line

  Scenario: Secrets never occur in the log of a site under requests
    Given a site whose log is kept at the lowest level
    When requests with good, revoked, unknown and misplaced secrets are sent
    Then the log shows answered and refused requests
    And the log shows no secret
