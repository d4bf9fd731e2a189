Feature: Fleet planning without faults
  Without racing planners or log outages, planning must still borrow, drain,
  maintain, roll and repair hosts. If one of these cases fails, work waits for
  capacity that exists, or hosts stay out of service.

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

  Scenario: Maintenance pauses in a wave of failures and resumes by itself
    Given a fleet of three pools of 4 hosts
    When fleet time passes the due time and -50 seconds more
    And the hosts of fleet pools "east,reserve" fail for 100 seconds
    And fleet time passes by 90 seconds
    Then 0 fleet hosts were cordoned
    When fleet time passes by 600 seconds
    Then every fleet host has booted 2 times

  Scenario: The check of the pause notices planning that never pauses
    Given a fleet of three pools of 4 hosts whose maintenance never pauses
    When fleet time passes the due time and -50 seconds more
    And the hosts of fleet pools "east,reserve" fail for 100 seconds
    And fleet time passes by 90 seconds
    Then more than 0 fleet hosts were cordoned

  Scenario: A host that never comes back stops no other pool
    Given a fleet of three pools of 4 hosts
    And fleet host "east-0" stays down after its next reboot
    When fleet time passes the due time and 400 seconds more
    Then fleet host "east-0" is recorded as lost
    And every host of fleet pools "west,reserve" has booted 2 times
    When fleet host "east-0" comes back broken
    And fleet time passes by 100 seconds
    Then fleet host "east-0" starts no task
    When fleet host "east-0" is repaired
    And fleet time passes by 600 seconds
    Then fleet host "east-0" is in service and maintained

  Scenario: A host that is listed twice counts as its worse entry
    Given a fleet of three pools of 4 hosts
    When fleet host "east-0" is listed as live and as leaving
    Then fleet host "east-0" starts no task in the view of that list

  Scenario: A host that no pool has goes to the spare pool once
    Given a fleet of three pools of 4 hosts
    When a fleet host that no pool has is listed for 60 seconds
    Then fleet pool "reserve" has 5 serving hosts
    And 1 fleet hosts were assigned
