Feature: Maintenance waves while the dispatcher changes
  Guards against machines taken down beyond a wave's cap, drained twice,
  forgotten or left without work. This can happen when a successor does not
  know what its predecessor has ordered.

  Scenario: A restarted dispatcher counts the machines that are down
    Given a site whose wave takes 12 machines down, 3 at once
    When the maintenance of 3 machines has begun
    And the dispatcher is killed and starts again on the same host
    Then the wave is completed within 40 seconds
    And no rule was broken

  Scenario: A successor counts machines whose maintenance takes longer than its wait
    Given a site whose wave takes 12 machines down, 3 at once
    And maintenance takes 7 seconds
    When the maintenance of 3 machines has begun
    And the dispatcher is killed after 0.2 seconds
    Then the wave is completed within 60 seconds
    And no rule was broken

  Scenario: A machine order without a response keeps its place in the wave
    Given a site whose wave takes 12 machines down, 2 at once
    When the machine service carries out orders 2 to 6 seconds late for 12 seconds
    Then the wave is completed within 60 seconds
    And no rule was broken

  Scenario: A machine order of a killed dispatcher keeps its place in the wave
    Given a site whose wave takes 12 machines down, 2 at once
    When the machine service carries out orders 6 to 9 seconds late for 1.3 seconds
    And the dispatcher is killed after 0.0 seconds
    And a job of 1 steps with 6 tasks of 4 seconds is submitted
    Then the wave is completed within 60 seconds
    And no rule was broken

  Scenario: A successor keeps long-running tasks off the machines being drained
    Given a site whose wave takes 12 machines down, 3 at once
    And a long-running job whose tasks may be away one at a time
    When the dispatcher is killed while its tasks are moved
    Then the wave is completed within 60 seconds
    And no task of the job was stopped twice for one machine
    And all tasks of the job are at work
    And no rule was broken

  Scenario: A wave is shown as completed only once that is stored
    Given a site whose wave takes 12 machines down, 12 at once
    When the store takes 0.3 seconds for each append of progress
    Then the wave is completed within 40 seconds
    And the maintenance of each of its machines was stored before

  Scenario: A late status of a wave does not undo a later one
    Given a site whose wave takes 2 machines down, 2 at once
    When the first status of the wave is stored 9 seconds late without an answer
    Then the wave is completed within 40 seconds
    And it still is after 12 seconds

  Scenario: A successor takes no machine down whose work it has not read
    Given a site whose wave takes 12 machines down, 3 at once
    And a long-running job whose tasks may be away one at a time
    When the dispatcher is killed and starts again while tasks are to be moved
    And no minion is listed for 2 seconds
    Then the wave is completed within 60 seconds
    And no machine was taken down under a task of the job
    And no rule was broken

  Scenario: A successor repeats no machine order before it has read the minion
    Given a site whose wave takes 12 machines down, 3 at once
    When a machine order is lost and the dispatcher is killed and starts again
    And no minion is listed for 2 seconds
    Then no machine was taken down meanwhile
    And the wave is completed within 60 seconds
    And no rule was broken

  Scenario Outline: Only a certain outcome frees the place of an order without a response
    Given a machine order without a response
    When the next attempt has the outcome "<outcome>"
    Then the machine <counts> count against the wave's cap
    And a list that shows it up <frees> free its place

    Examples:
      | outcome     | counts   | frees    |
      | unknown     | does     | does not |
      | busy        | does     | does not |
      | refused     | does     | does not |
      | accepted    | does     | does     |
      | not-in-wave | does not | does     |

  Scenario: Waves keep their rules whatever becomes of the dispatcher
    Given 12 waves beside faults drawn from seed 29
    Then no wave goes over its cap, forgets a machine or leaves a task waiting

  Scenario: A dispatcher that disregards listed maintenance breaks some wave
    Given 12 waves beside faults drawn from seed 29
    Then some wave breaks a rule without regard to listed maintenance

  Scenario Outline: A new leader waits only for machines that were just ordered
    Given a machine whose last order <order>
    When a leader takes over whose predecessor may have ordered until 1 s ago
    Then it may order that machine after <seconds> seconds

    Examples:
      | order                                | seconds |
      | does not exist                       | 0       |
      | was settled 10 s ago                 | 0       |
      | was settled 2 s ago                  | 1       |
      | was settled 0.5 s ago                | 2       |
      | is not settled and was read 10 s ago | 2       |

  Scenario: A record of maintenance that is not settled counts beside a settled move
    Given the log has a settled move and an unsettled maintenance of a machine
    Then the machine's newest order is not settled, in any order of the records

  Scenario Outline: A new leader uses machines that its predecessor has moved
    Given a new leader that finds an unsettled move of a machine to pool b
    When the machine is listed as <state> in pool <pool> with <minion>
    Then the move is <settled>

    Examples:
      | state  | pool | minion          | settled     |
      | up     | b    | a new minion    | settled     |
      | up     | b    | its old minion  | not settled |
      | up     | a    | a new minion    | not settled |
      | moving | b    | no minion       | not settled |
      | up     | b    | no minion       | not settled |

  Scenario Outline: A successor's first machine order is a lease after the predecessor's last
    Given a leader whose record another entry reads at <read> seconds
    When the other entry's candidacy is stored at <stored> seconds and it leads at <leads> seconds
    Then its first machine order comes at <first> seconds or later

    Examples: The predecessor may order for 0.8 s on its clock, which may be 2% slow
      | read | stored | leads | first  |
      | 10.0 | 11.2   | 11.3  | 15.016 |
      | 10.0 | 11.2   | 13.9  | 15.016 |
      | 10.9 | 11.0   | 11.0  | 14.816 |

  Scenario: A lease that a predecessor gives last of all counts for a successor
    Then the longest lease of a predecessor covers 2.8 s of permission and 4 s of lease on slow clocks
