Feature: Links between entries
  Entries trust the messages of a link, so only holders of the cluster key may
  open one. Guards against foreign peers, against changed, repeated or omitted
  frames, and against links that stay open although they no longer carry data.

  Scenario: Every message is unchanged after encoding and decoding
    Guards against a data class and its thrift struct drifting apart.
    Then each message type has a thrift struct with the same fields
    And a status with all its parts is the same after the wire

  Scenario: Two entries with the same key exchange messages
    Given entries one and two that share the cluster key
    When entry one asks entry two for relayed records
    Then entry two receives the request once

  Scenario: An entry with another key gets no link
    Given entries one and two with different cluster keys
    When the links have had time to come up
    Then neither entry has a link

  Scenario: A changed frame ends the link
    Given entries one and two that share the cluster key
    When a byte of the next frame from entry one is changed on its way
    Then entry two receives nothing
    And the link has been dialled again

  Scenario: A repeated frame ends the link
    Given entries one and two that share the cluster key
    When the next frame from entry one is sent twice
    Then entry two receives the request once
    And the link has been dialled again

  Scenario: An unresponsive link is closed and dialled again
    Guards against a connection that something on the way has forgotten.
    Given entries one and two that share the cluster key
    When the links go silent without being closed
    Then the link has been dialled again

  Scenario: Foreign bytes on the peer listener have no effect
    Given entries one and two that share the cluster key
    When 200 random byte strings are sent to the peer listener of entry two
    Then entry two receives nothing
    And no handler has failed

  Scenario: A later incarnation of an entry is distinguished from an earlier one
    Guards against survivors of a log outage that wait for a replaced process.
    Then a run of an entry that starts later is its successor and not another
