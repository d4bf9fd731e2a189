Feature: Scheduler
  A lost, doubled or starved request breaks the promise to its caller.

  Scenario: No schedule loses, doubles or starves a request
    Given the scheduler as it is
    Then no generated schedule violates the scheduler history

  Scenario Outline: The history check notices <fault>
    Given a scheduler that <fault>
    Then some generated schedule violates the scheduler history

    Examples:
      | fault                       |
      | drops refused jobs          |
      | starts a job twice          |
      | ignores cancellations       |
      | has no bound                |
      | starts jobs that are late   |
      | leaves capacity idle        |

  Scenario: Busy teams get their shares over several entries
    Given the scheduler as it is
    Then every generated mix of busy teams is within 10 percent of its shares

  Scenario Outline: The share check notices <fault>
    Given a scheduler that <fault>
    Then some generated mix of busy teams is not within 10 percent of its shares

    Examples:
      | fault               |
      | ignores usage       |
      | ignores shares      |
      | ignores peers       |

  Scenario: A flooding customer does not starve the others of its team
    Given the scheduler as it is
    Then each of 4 customers gets every fourth start of the team

  Scenario: The customer check notices a missing rotation
    Given a scheduler that serves one customer first
    Then some of 4 customers does not get every fourth start of the team

  Scenario: A flooding team cannot fill a shared queue
    Given the scheduler as it is
    Then every team gets its part of a queue that another has flooded

  Scenario: The queue check notices first come, first served
    Given a scheduler that refuses when the queue is full
    Then some team does not get its part of a queue that another has flooded

  Scenario: Overnight work gives way and still ends before its deadline
    Given the scheduler as it is
    Then overnight work of 40 runs ends in time beside busy interactive teams
    And interactive work waits less than overnight work before that

  Scenario: The overnight check notices missing promotion
    Given a scheduler that never promotes overnight work
    Then overnight work of 40 runs does not end in time beside busy teams

  Scenario: Urgent work finds a slot among long runs
    Given the scheduler as it is
    Then urgent work starts within 2.9 seconds in a pool of 60 second runs

  Scenario: The urgent check notices a pool that fills with long runs
    Given a scheduler that keeps no slot
    Then urgent work does not start within 2.9 seconds in such a pool

  Scenario: A team that marks everything urgent gets no more than its share
    Given the scheduler as it is
    Then an all-urgent team gets half of the starts beside an equal team

  Scenario: The urgent share check notices unlimited precedence
    Given a scheduler that always starts urgent work first
    Then an all-urgent team gets more than half of the starts

  Scenario: A returning team is not owed for the time it was away
    Given the scheduler as it is
    Then a team that was away for 60 seconds gets half of the next 40 starts
    And it gets half of the next 40 starts of another entry as well

  Scenario: The return check notices a stored claim
    Given a scheduler that does not raise returning teams
    Then a team that was away gets more than half of the next 40 starts

  Scenario: The agreement check notices raises that are not shared
    Given a scheduler that keeps raises to itself
    Then a team that returns gets more than half of the next 40 starts elsewhere

  Scenario: Wrong declared run times are corrected by observed runs
    Given the scheduler as it is
    Then runs declared 100 times too long are admitted against their deadline
    And runs that prove too long for their deadline are shed at once
    And one run is tried again 10 seconds later

  Scenario: A flood of cancellations leaves nothing behind
    Given the scheduler as it is
    Then 20000 cancelled jobs leave fewer than 2000 records

  Scenario: A new bundle refuses what it removes and moves what it moves
    Given the scheduler as it is
    Then jobs of a removed queue are refused not-run
    And jobs of a queue that changes its pool start in the new pool
