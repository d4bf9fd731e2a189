Feature: Fleet planning without faults
  Work would wait, or hosts would be lost, if the plain cases failed.

  Scenario: A pool whose need exceeds its hosts borrows from the spare pool
    Given a fleet of three pools of 4 hosts
    When pool "east" needs 6 hosts for 60 seconds
    Then fleet pool "east" has 6 serving hosts
    And fleet pool "west" has 4 serving hosts
    And 2 fleet hosts were assigned

  Scenario: A host that runs tasks is drained before it moves
    Given a fleet of three pools of 4 hosts
    And every fleet host runs a task of 20 seconds
    When pool "east" needs 5 hosts for 10 seconds
    Then 0 fleet hosts were assigned
    When pool "east" needs 5 hosts for 40 seconds
    Then 1 fleet hosts were assigned

  Scenario: A maintenance wave reboots every host once and no more
    Given a fleet of three pools of 4 hosts
    When fleet time passes the due time and 600 seconds more
    Then every fleet host has booted 2 times

  Scenario: No task starts in a zone that is out, and none moves back
    Given a fleet of three pools of 4 hosts
    When a bundle takes fleet zone "z1" out
    Then fleet zone "z1" starts no task after 2 seconds
    When a bundle takes no fleet zone out
    And pool "east" needs 4 hosts for 60 seconds
    Then fleet zone "z1" starts tasks
    And 0 fleet hosts were assigned

  Scenario: A roll goes zone by zone and restarts every host
    Given a fleet of three pools of 4 hosts
    When a bundle with a new fleet revision is published
    And fleet time passes by 400 seconds
    Then the fleet roll is done in every zone
    And every fleet host has booted 2 times
