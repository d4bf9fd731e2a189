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
    And one job is submitted at each entry
    Then each is refused for load with at least 1 whole second to wait

  Scenario: An entry that is cut off refuses nothing for load
    Given an overloaded site with admission
    When a follower is cut off for 1.6 s
    Then it does not refuse for load

  Scenario: Refused callers return one after the other
    Then 8 refusals at once get rising times to wait, also of another team
