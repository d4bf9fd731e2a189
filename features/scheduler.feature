Feature: Scheduler
  Guards against requests that are lost, started twice or starved, each of which
  violates a guarantee to the caller. They can follow from cancellations, full
  queues, floods of one team or customer, and entries that ignore each other's
  usage.

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

  Scenario: Records of many cancelled jobs are discarded
    Given the scheduler as it is
    Then 20000 cancelled jobs leave fewer than 2000 records

  Scenario: A new bundle refuses jobs of removed queues and moves those of queues that change pool
    Given the scheduler as it is
    Then jobs of a removed queue are refused not-run
    And jobs of a queue that changes its pool start in the new pool
