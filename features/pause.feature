Feature: Calls of a process that was paused
  Guards against orders that are sent after the permission for them has expired.
  This happens when a process is stopped for seconds between the decision and
  the moment at which a connection is open or free, for example by SIGSTOP or
  because its machine is suspended.

  Scenario: A call whose connection opens after its time limit is not sent
    Given a server and a client that opens 1 connection
    When a call with a limit of 1.5 s is made and the process pauses for 5 s
    Then the call ends as not sent
    And the server has received 0 requests

  Scenario: A call whose turn comes after its time limit is not sent
    Given a server and a client that opens 1 connection
    When a call with a limit of 30 s is made
    And a call with a limit of 1.5 s is made
    And the process pauses for 5 s and then reads the first response
    Then the call ends as not sent
    And the server has received 1 request

  Scenario: A connection that opened too late for its call serves the next one
    Given a server and a client that opens 1 connection
    When a call with a limit of 1.5 s is made and the process pauses for 5 s
    And a call with a limit of 1.5 s is made
    Then the call ends with status 200
    And the server has received 1 request
    And the server has accepted 1 connection

  # A partition holds back a request that has been sent; the kernel would go on
  # sending it after the client has closed the connection.
  Scenario Outline: A request that was given up does not arrive later
    Given a server that reads nothing and a client with a call of 200000 bytes
    When the silent call <end>
    Then the server receives less than the whole call

    Examples:
      | end          |
      | times out    |
      | is cancelled |

  Scenario Outline: A machine is not ordered after the leadership has expired
    Given a machine service that counts requests
    When a <order> is ordered 0.1 s before the leadership expires
    And the process pauses for 0.5 s before the connection opens
    Then the order ends as rejected
    And the server has received 0 requests

    Examples:
      | order       |
      | move        |
      | maintenance |

  Scenario: A machine is ordered while the leadership is valid
    Given a machine service that counts requests
    When a move is ordered 0.1 s before the leadership expires
    Then the order ends as accepted
    And the server has received 1 request
