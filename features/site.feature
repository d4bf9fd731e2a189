Feature: A whole site on loopback
  Guards against components that work alone and fail together, for instance
  because they disagree about an interface. Runs the demonstration of a site.

  Scenario: The demonstration of a site passes
    When the demonstration runs
    Then every stage of the demonstration has passed
