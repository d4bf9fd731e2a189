Feature: Transport
  Guards against an event that reaches the wrong connection, when a descriptor is
  reused within a batch, and against a listener that stops accepting when
  descriptors run out. Both cut requests without a trace at any other layer.

  Background:
    Given a transport that listens on loopback

  Scenario: A new socket does not get the events of one closed in its batch
    When a receiver closes another ready connection and opens a new one
    Then the new connection has another descriptor than the closed one

  Scenario: A listener without descriptors pauses and then accepts again
    When a peer connects while no descriptor is free
    Then the transport does not poll the listener
    When descriptors are free again after a moment
    Then the peer is accepted

  Scenario: A failing receiver ends its own connection and is counted
    When a receiver fails on its data while another one is served
    Then the transport counts 1 failures
    And only the other connection is open

  Scenario: A connection attempt that takes too long is given up
    When a connection attempt is not answered within its limit
    Then its receiver learns that it timed out

  Scenario: A write over the limit cuts the connection
    When a receiver sends more than its connection may buffer
    Then that connection is closed and nothing is buffered

  Scenario: Cancelled timers do not fill the memory
    When 5000 timers are set and cancelled
    Then the timer service keeps fewer than 2500 of them
