Feature: Connections to minions
  Guards against orders that no longer reach a minion, although its polls do. A
  leader that loses power leaves its connections behind; a minion accepts a
  limited number and keeps those of a vanished peer for tens of seconds.

  Scenario: Many leaders that lose power leave room for the next one's orders
    Given a minion that accepts 64 connections and keeps those of vanished peers
    When 26 leaders send it 32 orders each during a long poll and lose power
    Then every order of the next leader is answered
    And no leader opened more than 2 connections

  Scenario Outline: Orders are sent over the poll connection if no other works
    Given a minion that accepts 1 connection and <rest> others
    When a leader polls it and sends it 32 orders 3 times
    Then every order of the last time is answered
    And the minion has answered its polls as well

    Examples:
      | rest                     |
      | refuses                  |
      | resets after the request |
      | resets                   |

  Scenario: Orders get a connection of their own once the minion accepts it
    Given a minion that accepts 1 connection and resets others
    When a leader polls it and sends it 32 orders 3 times
    And the minion accepts 64 connections
    And a leader goes on and sends it 4 orders 2 times
    Then its polls wait for longer than a second again

  Scenario: An order without a response does not hold up those behind it
    Given a minion that accepts 64 connections and loses one response
    When a leader polls it and sends it 32 orders 1 times
    Then all but 1 of the orders are answered

  Scenario: A leader that steps down closes its connections
    Given a minion that accepts 64 connections and keeps those of vanished peers
    When a leader polls it, sends it orders and steps down
    Then the minion has no connection left

  Scenario: Work on a minion that takes no orders starts elsewhere after its lease
    Given a site with 3 entries and 4 minions
    When a long-running job of 2 tasks is submitted
    And one of its minions takes no more orders and the job's task there is to be stopped
    Then the task runs on another minion within 9 seconds
    And the minion's own lease had ended before
    And no rule was broken

  Scenario: A start and a stop that don't arrive hold up no task
    Given a site with 3 entries and 4 minions
    When no order reaches 1 of the minions for 30 seconds
    And a job of 1 steps with 8 tasks of 1 seconds is submitted
    Then every task has ended within 9 seconds
    And no rule was broken

  Scenario Outline: A minion counts as taking no orders only while orders wait
    Given a dispatcher with a run on its only minion
    When it orders the run to stop and <event>
    Then after <seconds> seconds it <does> extend the minion's lease

    Examples:
      | event                              | seconds | does     |
      | the stop is not answered           | 1.8     | does     |
      | the stop is not answered           | 2.3     | does not |
      | the stop is answered               | 2.3     | does     |
      | the run is no longer reported      | 2.3     | does     |
      | all responses are late             | 2.3     | does     |
