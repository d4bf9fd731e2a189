Feature: Cost of one turn of the event loop
  A leader that holds its event loop for longer than the leader timeout is
  replaced, and its successor has the same work to do. Guards against work in
  one turn that grows faster than what is due now: lines of code are counted,
  not seconds. The sizes are the largest that an entry accepts, or more than
  enough to show how the cost grows, beside a tenth of them.

  Scenario Outline: A gang is planned at a cost in proportion to its tasks
    Given a pool of 8 minions with room for everything
    When gangs of 409 and of 4096 tasks <case> are planned
    Then the larger one took at most <ratio> times as many lines

    Examples:
      | case               | ratio |
      | that fit           | 11    |
      | that fit in a rack | 11    |
      | that fit no rack   | 11    |

  Scenario: A gang that does not fit costs the same in each pass, whatever its size
    Given a pool of 8 minions with room for everything
    When gangs of 409 and of 4096 tasks that do not fit are planned again
    Then the larger one took at most 1 times as many lines

  Scenario Outline: Tasks of one step are placed at a cost in proportion to them
    Given a pool of 300 minions with room for everything
    When steps of 409 and of 4096 <kind> tasks are planned
    Then the larger one took at most 11 times as many lines

    Examples:
      | kind         |
      | short        |
      | long-running |

  Scenario: A report is applied at a cost in proportion to its runs
    Given a pool of 1 minions with room for everything
    When it reports the start of 409 and of 4096 tasks
    Then the larger one took at most 11 times as many lines

  Scenario: Members of a gang share a number above those of all earlier starts
    Given a pool of 8 minions with room for everything
    When a gang of which one member had start 5 is planned
    Then all its members have start 6
