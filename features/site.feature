Feature: The whole path on loopback
  Guards against parts that work alone and not together.

  Scenario: The demonstration of a site passes
    When the demonstration runs
    Then every stage of the demonstration has passed
