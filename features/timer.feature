Feature: Timer service
  A call that is missed loses a timeout; a call that happens twice repeats an
  action. This can follow from a pause of the process, from a cancellation or
  from a callback that fails.

  Scenario: A single call happens once, at its time
    Given a timer service at time 0
    And a single call after 2 seconds
    When time moves to 1
    Then the call happened 0 times
    When time moves to 2
    And time moves to 10
    Then the call happened 1 times

  Scenario: A periodic call skips the periods that a pause covered
    Given a timer service at time 0
    And a call every 1 seconds
    When time moves to 1
    And time moves to 60
    And time moves to 61
    Then the call happened 3 times

  Scenario: A cancelled call never happens
    Given a timer service at time 0
    And a single call after 2 seconds
    When the call is cancelled
    And time moves to 10
    Then the call happened 0 times

  Scenario: A failing callback does not stop the others
    Given a timer service at time 0
    And a callback that fails after 1 seconds
    And a single call after 2 seconds
    When time moves to 5
    Then the call happened 1 times
    And the timer service counts 1 failures

  Scenario: A part that holds the event loop is named, the innermost one only
    Given a timer service at time 0
    When the part "planning" runs for 0.24 seconds within "timer"
    Then no part is logged
    When the part "planning" runs for 0.3 seconds within "timer"
    Then "planning" is logged with 0.3 seconds, and nothing else
    And the timer service counts 1 slow turns
