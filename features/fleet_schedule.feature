Feature: Fleet planning under faults
  Guards against work that is cut, budgets that are exceeded and hosts that are
  lost. Racing or paused planners, lost acknowledgements, correlated failures
  and log outages can cause each of them.

  Scenario: Random fleet schedules keep every property
    When random fleet schedules run
    Then at least 10000 fleet schedule steps kept every property

  Scenario Outline: A fleet check notices the loss of a mechanism
    When the fleet schedule for "<mechanism>" runs on the whole mechanism
    Then that fleet schedule keeps every property
    When the fleet schedule for "<mechanism>" runs without it
    Then the fleet check reports "<violation>"

    Examples:
      | mechanism                 | violation                            |
      | planned-only budget       | a budget was exceeded by plan        |
      | no pool version           | a budget was exceeded by plan        |
      | no record expiry          | a budget was exceeded by plan        |
      | no host version           | a host under maintenance moved       |
      | repeated records          | a repeated record changed the state  |
      | any bundle                | two operators won one version        |
      | rollback on halt          | an accepted bundle reverted          |
      | zones out ignored         | a task started in a zone that is out |
      | former members kept       | a host is in two pools at view       |
      | reboot at once            | a drain cut work                     |
      | old idle evidence         | a drain cut work                     |
      | no resume                 | a host was not maintained            |
      | half-done hosts forgotten | a host was not maintained            |
