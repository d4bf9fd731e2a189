Feature: Order under shortage
  Guards against a full pool in which a team's backlog takes the room of teams
  that use less of their share, and against wide steps whose jobs count as late
  too early or too late because their longest run is not expected.

  Scenario: The longest run of a step is expected from the spread of past runs
    Given run times with a logarithmic spread of 0.5
    When 19 runs are known
    Then the longest of 8 runs is expected to take as long as one
    When 400 runs are known
    Then the longest of 8 runs is expected to take 1.6 to 2.0 times the mean
    And what is left of a job whose step has 6 of 8 tasks done is expected from 2 runs
