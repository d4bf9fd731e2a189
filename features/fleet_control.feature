Feature: Planning in the daemon
  Hosts are taken out of service while requests run on them. A planner that acts
  on outdated evidence reboots a host before its requests have ended, or takes
  more hosts at once than the availability budget allows.

  Scenario: Two instances that both plan keep pools and budgets
    Guards against the lease being the only thing that keeps two planners
    from spending the same budget.
    Then hosts stay in one pool and budgets hold in 6 races of two instances
    And the races find a fold without pool versions and counts

  Scenario: A snapshot restores the fleet
    An entry that joins by a snapshot would otherwise plan on other steps,
    versions and budgets than its peers.
    Given two fleet instances after a race
    When a new fleet instance starts from a snapshot of it
    Then its fleet state and its pools are those of the others
    And both fold the next fleet records alike

  Scenario: Hosts follow a bundle that moves and removes them
    Guards against hosts left in pools that no bundle declares.
    Given a fleet instance with hosts quotes-1 and quotes-2 in quotes
    When a bundle moves quotes-1 to stores and removes quotes-2
    Then quotes-1 is arriving in stores and quotes-2 is in no pool
    And a host that comes back has a version above every earlier one

  Scenario: A drain waits for every entry and for the platform
    An entry that has not folded the cordon may still send work to the host.
    Given two fleet instances of which the first has cordoned a host
    Then the host is not rebooted while the second has not folded the cordon
    And the host is not rebooted while the second runs a request on it
    And the host is not rebooted while the platform reports a task on it
    And the host is rebooted once nothing runs on it

  Scenario: A cordon behind a gap in the log is a new one
    Evidence from the first of two cordons would end the second one's drain.
    Given two fleet instances of which the first has cordoned a host
    And the second has shown that it folded the cordon
    When the host returns and is cordoned again
    And the first learns of both by a snapshot alone
    Then the first counts the second as one that may send work to the host

  Scenario: One round is in progress at a time
    Records planned on a state without the last round's would be stale.
    Given two fleet instances whose hosts are due
    When the first takes the lease and plans a round
    Then it plans nothing while an append is under way
    And it plans nothing until the last record is folded
    And it plans again when every append has failed

  Scenario: Only a fresh holder of the lease that reads the log plans
    Given two fleet instances whose hosts are due
    When the first takes the lease
    Then the second plans nothing
    And the first plans nothing when it is stale or reads by relays

  Scenario: A site returns hosts to service under load and cuts no request
    When a site under load maintains its first hosts
    Then no request was cut or refused, and a rebooted host serves again
    And status and explanations name the steps

  Scenario: Work is cut when a drain does not wait
    Shows that the check of the site under load notices cut requests.
    When a site under load maintains hosts without waiting for drains
    Then requests were cut by reboots

  Scenario: A pool under pressure borrows a host and uses it
    Guards against hosts that move but get no work, or work of another pool.
    When the demand for a pool of a site exceeds its hosts
    Then a borrowed host runs that pool's requests, and no request is cut
