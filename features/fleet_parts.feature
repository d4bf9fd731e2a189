Feature: Parts of fleet planning
  Wrong demand estimates, wrong spare capacity or wrong roll decisions use more
  hosts than needed or cut capacity. They come from faulty or missing usage
  reports, from repeated rounds before the log answers, and from zones that fail
  or leave during a roll.

  Scenario: Spare capacity survives each loss alone and is the least that does
    When spare capacity is planned for 300 random fleets
    Then every spare capacity plan survives the loss of any rack or zone
    And no spare capacity plan has a host that its losses do not need
    And adding up the losses would need more hosts

  Scenario: Accelerator need is met by hosts with accelerators
    Given a fleet buffer over 12 plain hosts and 6 accelerator hosts
    When spare capacity is planned for 2 plain hosts and 2 accelerator hosts
    Then the fleet buffer has 3 accelerator hosts and 0 plain hosts

  Scenario Outline: Wrong usage reports do not move the demand estimate
    Given fleet usage of <slots> slots with 1 report in 7 <fault>
    Then the fleet demand estimate is within 10 percent of <slots> slots

    Examples:
      | slots | fault         |
      | 40    | five times up |
      | 40    | zero          |
      | 40    | not a number  |
      | 40    | negative      |
      | 40    | out of order  |

  Scenario: A full pool shows its demand by the growth of its queue
    Given fleet usage of 48 slots and a queue growing by 24 slots of work
    Then the fleet demand estimate is at least 72 slots

  Scenario: A single usage report gives no need
    Given fleet usage of 40 slots in a single report
    Then the fleet need of the pool is unknown

  Scenario: A pool whose need is unknown keeps its hosts
    Given a fleet of three pools of 4 hosts
    And the need of fleet pool "west" is unknown
    When pool "east" needs 12 hosts for 60 seconds
    Then fleet pool "west" has 4 serving hosts
    And fleet pool "east" has 8 serving hosts

  Scenario: A second round before the log answers moves no more hosts
    Given a fleet of three pools of 4 hosts
    When two fleet rounds in a row find that pool "east" needs 6 hosts
    Then the two fleet rounds move 2 hosts in all
    When a fleet round follows after the first records have expired
    Then that fleet round moves 2 hosts

  Scenario: A roll halts on bad signals and only the next bundle goes on
    Given a fleet of three pools of 4 hosts
    When a bundle with a new fleet revision is published
    And fleet time passes by 4 seconds
    And fleet zone "z1" reports failures
    And fleet time passes by 200 seconds
    Then only fleet zone "z1" runs bundle 2
    When fleet zone "z1" reports no failures
    And fleet time passes by 200 seconds
    Then only fleet zone "z1" runs bundle 2
    When a bundle with a new fleet revision is published
    And fleet time passes by 400 seconds
    Then every fleet zone runs bundle 3

  Scenario: Zones that leave and return cause no additional moves of hosts
    Given a fleet of three pools of 4 hosts
    When pool "east" needs 3 hosts for 10 seconds
    And a bundle takes fleet zone "z1" out
    And fleet time passes by 60 seconds
    Then 1 fleet hosts were assigned
    When a bundle takes no fleet zone out
    And fleet time passes by 200 seconds
    Then 1 fleet hosts were assigned

  Scenario: Borrowed hosts return to the spare pool only after the hysteresis time
    Given a fleet of three pools of 4 hosts
    When pool "east" needs 6 hosts for 60 seconds
    And pool "east" needs 1 hosts for 200 seconds
    Then fleet pool "east" has 6 serving hosts
    When fleet time passes by 400 seconds
    Then fleet pool "east" has 4 serving hosts
    And fleet pool "reserve" has 4 serving hosts

  Scenario: Withdrawn keys and lowered limits apply before the wave, new keys and raised limits with it
    Given a rolled fleet bundle and an accepted one that changes everything
    Then the composed fleet bundle has keys "kept"
    And the composed fleet bundle limits team "a" to 3
    And the composed fleet bundle limits team "b" to 5
    And the composed fleet bundle limits team "gone" to 0
    And the composed fleet bundle has the zones of the accepted one
    And the composed fleet bundle keeps the rolled queues
