Feature: Log output that nobody reads
  Guards against a process that stands still in the write of a log line while
  the reader of its standard output does, after which no request is answered,
  and against lines that are lost without a count or in the wrong order.

  Scenario: An entry whose standard output is full answers, and stops in time
    When an entry process starts with standard output and error on a full pipe
    Then its readiness check answers
    And it ends by itself after SIGTERM

  Scenario Outline: A full queue drops the oldest line of the lowest rank
    Given a queue with room for 3 lines
    When lines of the ranks <ranks> are added
    Then the lines <kept> are left and <dropped> are counted as dropped

    Examples:
      | ranks                                 | kept    | dropped          |
      | INFO WARNING DEBUG INFO               | 1 2 4   | DEBUG            |
      | INFO WARNING INFO INFO                | 2 3 4   | INFO             |
      | DECISION WARNING ERROR INFO           | 1 2 3   | INFO             |
      | WARNING DECISION ERROR ERROR DECISION | 3 4 5   | WARNING DECISION |
      | ERROR ERROR ERROR ERROR               | 2 3 4   | ERROR            |
      | DEBUG                                 | 1       | nothing          |

  Scenario: A queue of many short lines stays within its limit
    Given a queue with room for 3 lines
    When 1000 empty lines are added
    Then 3 lines are left

  Scenario: The rank of a line follows from its event
    Then the events have the ranks
      | event               | rank     |
      | REQUEST_DONE        | DEBUG    |
      | MINION_RESPONSIVE   | INFO     |
      | MINION_UNRESPONSIVE | WARNING  |
      | JOB_ACCEPTED        | DECISION |
      | TASK_GIVEN_UP       | DECISION |
      | HANDLER_FAILED      | ERROR    |

  Scenario: Once output is read again, the lines left come in order with a count
    Given a log on a pipe that nobody reads
    When 3000 lines of 1000 bytes are logged
    Then at most 1 MiB waits
    When the pipe is read until no line waits
    Then every line that was not dropped was read whole and in order
    And one line "CW1007" counts the dropped lines

  Scenario: Lines are kept while the pipe has no reader
    Given a log on a pipe that nobody reads
    When 100 lines of 1000 bytes are logged
    And the reader ends and 3 lines of 1000 bytes are logged
    Then the loop does not call the log more than once a second

  Scenario Outline: Another process that shares the <kind> can still block on it
    Given a log on a <kind> whose reopening is <reopening>
    When 300 lines of 1000 bytes are logged
    Then the shared descriptor is in <mode> mode
    When the log is closed
    Then the shared descriptor is in blocking mode

    Examples:
      | kind   | reopening | mode         |
      | pipe   | allowed   | blocking     |
      | socket | allowed   | blocking     |
      | pipe   | denied    | non-blocking |

  Scenario: A stop writes what is read in time
    Given a log on a pipe that nobody reads
    When 500 lines of 1000 bytes are logged
    And the log is closed while a thread reads the pipe
    Then every line that was not dropped was read whole and in order
