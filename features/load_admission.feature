Feature: Jobs that would be of no use are refused at once
  Guards against jobs that are accepted and wait until they are of no use, and
  against refusals that are false: of jobs that can be served, of jobs that are
  stored, or because of a load that is past or unknown.

  Scenario: Callers are served better in a peak than by accepting everything
    When a peak is replayed with and without admission
    Then no fewer callers are served in time, and no more than the bound allows
    And fewer jobs are accepted in vain
    And refused callers learn it within 0.5 seconds

  Scenario: Without overload nothing is reported or refused
    Given a site with admission whose one team is within its rate
    When one job is submitted at each entry
    Then the log has no load report and none is refused for load

  Scenario: A team beyond its rate is refused, but no job that is exempt
    Given an overloaded site with admission
    When one job is submitted at each entry
    Then each is refused for load with at least 1 whole second to wait
    And a long-running job, a timed job and a stored job are not refused

  Scenario: The switch turns refusals and reports off
    Given an overloaded site without admission
    When one job is submitted at each entry
    Then the log has no load report and none is refused for load

  Scenario Outline: No job is refused for load because <failure>
    Given an overloaded site with admission
    When <failure>
    And one job is submitted at each entry
    Then none is refused for load

    Examples: failures
      | failure                          |
      | the leader is lost for 1.6 s     |
      | the store is unresponsive        |
      | a report of an older term is read |
      | a malformed report is read       |

  Scenario: A successor reports the load itself
    Given an overloaded site with admission
    When the leader is lost for 8 s
    Then the newest load report is of the successor's term
    When the team goes on beyond its rate
    And one job is submitted at each entry
    Then each is refused for load with at least 1 whole second to wait

  Scenario: An entry that is cut off refuses nothing for load
    Given an overloaded site with admission
    When a follower is cut off for 1.6 s
    Then it does not refuse for load

  Scenario Outline: A refusal for load without a check of <check> is noticed
    Given an overloaded site with admission
    When <failure>
    And an entry takes every report as usable
    Then it refuses for load

    Examples: checks
      | check | failure                           |
      | age   | a follower is cut off for 1.6 s   |
      | term  | a report of an older term is read |

  Scenario: A refusal for load by another entry is passed on unchanged
    Given a site of entries in zones "a a b"
    And the other entries refuse jobs for load for 7 seconds
    When entry 0 has been refused by the store for 5 seconds
    And a job is submitted at entry 0
    Then the submission is answered with 429
    And the answer has reason "overloaded" as JSON
    And the caller is to return after 7 seconds
    And one other entry was asked

  Scenario: The command shows what the metrics of the leader tell
    Given an overloaded site with admission
    Then the queues command shows 12 waiting jobs of pool "quotes"
    And it ends with 2 for a malformed address and 6 without an entry

  Scenario: Spare and idle machines anywhere count as cores for a job
    Then 4 cores at work, 8 arriving and 16 able to move make 28

  Scenario: A team's upper limit leaves its other cores to new jobs
    Then 400 core-seconds of a team limited to 4 of 16 cores delay nobody

  Scenario: Refused callers return one after the other
    Then 8 refusals at once get rising times to wait, also of another team
