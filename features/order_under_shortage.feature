Feature: Order under shortage
  Guards against a full pool in which a team's backlog takes the room of teams
  that use less of their share, and against wide steps whose jobs count as late
  too early or too late because their longest run is not expected.

  # Weights are also guaranteed rates: at 15 jobs a second 0.7 of the jobs are
  # over their team's rate, at 45 jobs a second 0.4, most of them of canvas.
  Scenario Outline: At twice the load, more work is in time than with the previous order
    Given a pool at twice what it can run, with weights that add up to <rate> jobs a second, seeds 1 to 3
    When it is replayed in the fair order and in the previous one
    Then the shares of work in time are printed
    And overall and for the worst team the fair order has more work in time than the previous one
    And no share exceeds its bound

    Examples:
      | rate |
      | 15   |
      | 45   |

  Scenario Outline: Loads of teams count only while the pool is short of room
    Given a pool of 192 cores with fair order <switch>, of which team canvas uses <used>
    And jobs of canvas and, a little later, of shade that are <age> and need 2 cores each
    When the dispatcher plans
    Then the job of <team> goes first

    # A load that counts with ample room delays jobs for nothing; late jobs in
    # order of arrival let one team's backlog go first.
    Examples:
      | switch | used | age    | team   |
      | on     | 189  | timely | shade  |
      | on     | 100  | timely | canvas |
      | on     | 189  | late   | shade  |
      | on     | 100  | late   | canvas |
      | off    | 100  | timely | shade  |
      | off    | 189  | late   | canvas |

  # A successor that knew only its own starts would treat all teams as idle.
  Scenario: A successor orders by the runs that its first polls report
    Given a pool of 192 cores with fair order on, of which team canvas uses 189
    And jobs of canvas and, a little later, of shade that are timely and need 2 cores each
    When a successor takes over and has polled the minions
    And the dispatcher plans
    Then the job of shade goes first

  # Such a team must neither count as idle, nor wait for all others, nor fail the
  # planning pass.
  Scenario Outline: A team without a declared weight counts with the smallest one
    Given a pool of 192 cores with fair order on, of which team canvas uses <canvas>
    And of which team shade uses <shade>
    And jobs of canvas and, a little later, of shade that are timely and need 2 cores each
    When a configuration comes into force in which <team> <lacks>
    And the dispatcher plans
    Then the job of <first> goes first

    Examples:
      | canvas | shade | team   | lacks         | first  |
      | 130    | 59    | canvas | has no weight | shade  |
      | 130    | 59    | canvas | is missing    | shade  |
      | 59     | 130   | canvas | has no weight | canvas |
      | 59     | 130   | canvas | is missing    | canvas |
      | 130    | 59    | shade  | has no weight | shade  |
      | 130    | 59    | nobody | has a weight  | shade  |

  Scenario: Tasks above a team's upper limit don't make a pool short of room
    Given a pool of 192 cores with fair order on, of which team canvas uses 100
    And jobs of canvas and, a little later, of shade that are timely and need 2 cores each
    And a job of shade that needs 200 cores, of which its upper limit allows 10
    When the dispatcher plans
    Then the job of canvas goes first

  Scenario Outline: A variant without a mechanism orders otherwise
    Given a pool of 192 cores with fair order on, of which team canvas uses <canvas>
    And of which team shade uses <shade>
    And jobs of canvas and, a little later, of shade that are timely and need 2 cores each
    When a configuration comes into force in which canvas is missing
    And the dispatcher plans without the mechanism "<mechanism>"
    Then the job of <first> goes first

    Examples:
      | mechanism                               | canvas | shade | first  |
      | loads count in full pools only          | 60     | 0     | shade  |
      | loads count in full pools               | 130    | 59    | canvas |
      | missing weights are not taken as large  | 130    | 59    | canvas |
      | missing weights are not taken as small  | 59     | 130   | shade  |

  Scenario: The longest run of a step is expected from the spread of past runs
    Given run times with a logarithmic spread of 0.5
    When 19 runs are known
    Then the longest of 8 runs is expected to take as long as one
    When 400 runs are known
    Then the longest of 8 runs is expected to take 1.6 to 2.0 times the mean
    And what is left of a job whose step has 6 of 8 tasks done is expected from 2 runs
