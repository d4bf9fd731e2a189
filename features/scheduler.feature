Feature: Scheduler
  A lost, doubled or starved request breaks the promise to its caller.

  Scenario Outline: <promise>
    Given the scheduler as it is
    Then the <name> check of the scheduler holds

    Examples:
      | name             | promise                                            |
      | schedules        | No schedule loses, doubles or starves a request    |
      | shares           | Busy teams get their shares over several entries   |
      | customers        | A flooding customer does not starve its team       |
      | full queue       | A flooding team cannot fill a shared queue         |
      | overnight        | Overnight work gives way and ends in time          |
      | urgent start     | Urgent work finds a slot among long runs           |
      | urgent share     | Marking everything urgent gains nothing            |
      | return           | A returning team is not owed for its time away     |
      | return elsewhere | Entries agree on the place of a returning team     |

  Scenario Outline: The <name> check notices a scheduler that <fault>
    Given a scheduler that <fault>
    Then the <name> check of the scheduler fails

    Examples:
      | name             | fault                           |
      | schedules        | drops refused jobs              |
      | schedules        | starts a job twice              |
      | schedules        | ignores cancellations           |
      | schedules        | has no bound                    |
      | schedules        | starts jobs that are late       |
      | schedules        | leaves capacity idle            |
      | shares           | ignores usage                   |
      | shares           | ignores shares                  |
      | shares           | ignores peers                   |
      | customers        | serves one customer first       |
      | full queue       | refuses when the queue is full  |
      | overnight        | never promotes overnight work   |
      | urgent start     | keeps no slot                   |
      | urgent share     | always starts urgent work first |
      | return           | does not raise returning teams  |
      | return elsewhere | keeps raises to itself          |

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
