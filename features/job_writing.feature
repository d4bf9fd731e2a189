Feature: Storing submitted jobs
  Guards against callers that wait behind each other while the store is slow,
  which happens if each job needs an append of its own. Also guards against
  reporting a job as not stored when an unanswered append may have stored it.

  Scenario: Jobs of a peak share appends while the store is slow
    Given a store that takes 0.24 seconds for each append, one after the other
    When 60 jobs arrive within 2 seconds
    Then every job is stored within 1.5 seconds
    And one append for each job would have taken more than 10 seconds

  Scenario: Entries that share a slow store do not flood it
    Given a store that takes 0.24 seconds for each append, one after the other
    And 4 entries that share it
    When 120 jobs arrive within 6 seconds
    Then every job is stored within 2.85 seconds

  Scenario: A lost answer delays a job by a fraction of a second
    Given a store that takes 0.004 seconds for each append, one after the other
    When 60 jobs arrive within 2 seconds and each third append is not answered
    Then every job is stored within 0.6 seconds

  Scenario: A record that is refused once and unknown once may have been stored
    Given a store that takes 0.004 seconds for each append, one after the other
    When a job's first append is not answered and every later one is refused
    Then its caller is told at its deadline that it may have been stored

  Scenario: A record that was only refused has certainly not been stored
    Given a store that takes 0.004 seconds for each append, one after the other
    When every append of a job is refused
    Then its caller is told at once that it has not been stored
