Feature: Entries serve each other's callers
  Guards against requests about accepted jobs that are refused, or never
  answered, because the entry that the caller is connected to can't read the
  store while other entries can; and against answers that are false, late or
  repeated without limit because a request was forwarded.

  Scenario: An entry that is cut off answers about a job that another one knows
    Given a site of entries in zones "a a b"
    When entry 0 has been refused by the store for 5 seconds
    And a job is submitted at entry 1
    Then entry 0 answers a GET for the job with 200 within 0.1 seconds

  Scenario: An entry that has just started answers about an accepted job
    Given a site of entries in zones "a a b"
    When a job is submitted at entry 1
    And entry 0 loads the job log anew and can't read it
    Then entry 0 answers a GET for the job with 200 within 0.1 seconds

  Scenario: A submission at an entry that is cut off is stored once
    Given a site of entries in zones "a a b"
    When entry 0 has been refused by the store for 5 seconds
    And a job is submitted at entry 0
    Then the submission is answered with 200
    And the job is stored 1 time

  Scenario: A rejection by another entry is passed on completely
    Given a site of entries in zones "a a b"
    When entry 0 has been refused by the store for 5 seconds
    Then entry 0 answers a GET for the job with 410 within 0.1 seconds
    And the answer has reason "job-unknown" as JSON
    And entry 0 rejects an unknown key with 401

  Scenario: A submission whose answers were lost is not said to have not run
    Given a site of entries in zones "a a b"
    When entry 0 has been refused by the store for 5 seconds
    And every answer to entry 0 is lost
    And a job is submitted at entry 0
    Then the submission is answered with 504
    And the answer has reason "acceptance-unknown" as JSON
    And the answer says that it may have run
    And the job is stored

  Scenario: A submission whose first answer was lost is confirmed by another
    Given a site of entries in zones "a a b"
    When entry 0 has been refused by the store for 5 seconds
    And every answer of entry 1 to entry 0 is lost
    And a job is submitted at entry 0
    Then the submission is answered with 200
    And entry 0 has asked 2 entries

  Scenario: A silent entry does not use up the caller's time
    Given a site of entries in zones "a a b"
    When entry 0 has been refused by the store for 5 seconds
    And entry 1 accepts requests and is silent
    And a job is submitted at entry 2
    Then entry 0 answers a GET for the job with 200 within 0.6 seconds
    And entry 0 answers a GET for the job with 200 within 0.1 seconds

  Scenario: Entries that are all cut off refuse at once
    Given a logged site of entries in zones "a a a b b b"
    When every entry has been refused by the store for 5 seconds
    Then entry 0 answers a GET for the job with 503 within 0.1 seconds
    And the answer has Retry-After
    And entries have asked each other 3 times
    And the refusal is logged by this entry with the entries it tried
    And the refusal is logged by those entries as forwarded

  Scenario: A caller that leaves takes its forwarded request along
    Given a site of entries in zones "a a b"
    When entry 0 has been refused by the store for 5 seconds
    And entry 1 accepts requests and is silent
    And entry 2 accepts requests and is silent
    And a caller asks entry 0 for the job and leaves after 1 second
    Then entry 0 has no forwarded request in flight

  Scenario: An entry whose job log is stale refuses an unknown job at once
    Given a site with 3 entries and 4 minions
    When an entry has been refused by the store for 2.8 seconds
    And it is asked for an unknown job
    Then it refuses without waiting as the log can't be read

  Scenario Outline: The next entry to ask is chosen by <what>
    Given entries "<peers>" are known in zone "a"
    When a request of <attempts> attempts with <left> seconds left is refused
    Then one of "<chosen>" is asked

    # NAME:ZONE:IN-FLIGHT and "!" if it has failed recently.
    Examples:
      | what                     | peers                     | attempts | left | chosen |
      | zone                     | p:a:5 q:b:0               | 0        | 3    | p      |
      | recent failures          | p:a:0! q:b:9              | 0        | 3    | q      |
      | failures of all          | p:b:0! q:a:9!             | 1        | 3    | q      |
      | requests in flight       | p:a:9 q:a:1               | 0        | 3    | p q    |
      | number of attempts       | p:a:0                     | 3        | 3    | none   |
      | time left                | p:a:0                     | 0        | 0.05 | none   |
      | nothing if none is known |                           | 0        | 3    | none   |

  Scenario: The less loaded of two entries is preferred
    Given entries "p:a:9 q:a:1" are known in zone "a"
    When 1000 requests choose an entry
    Then between 700 and 800 of them choose "q"

  Scenario Outline: A refusal with reason <reason> and execution <execution> is forwarded: <forwarded>
    Then a refusal "<reason>" with execution "<execution>" is forwarded: <forwarded>

    Examples:
      | reason              | execution    | forwarded |
      | store-unavailable   | not-run      | yes       |
      | stale-configuration | not-run      | yes       |
      | store-unavailable   | may-have-run | no        |
      | acceptance-unknown  | may-have-run | no        |
      | job-unknown         | not-run      | no        |
      | key-unknown         | not-run      | no        |
      | team-limit          | not-run      | no        |

  Scenario Outline: A response <status> <body> may have taken effect: <unless>
    Then a response <status> with body "<body>" may have taken effect: <unless>

    Examples:
      | status | body                           | unless |
      | 503    | {"execution":"not-run"}        | no     |
      | 503    | {"execution":"may-have-run"}   | yes    |
      | 504    | {"execution":"may-have-run"}   | yes    |
      | 500    | {"execution":["not-run"]}      | yes    |
      | 503    | Service Unavailable            | yes    |
      | 503    | ["not-run"]                    | yes    |

  Scenario Outline: A request with <results> at other entries ends as <end>
    Given a forwarder with scripted entries "<results>"
    When a <kind> is forwarded
    Then it ends as "<end>" and counts as "<counted>"

    Examples:
      | kind       | results                  | end                | counted  |
      | submission | served                   | 200                | answered |
      | submission | refused served           | 200                | answered |
      | submission | not-sent served          | 200                | answered |
      | submission | refused refused refused  | store-unavailable  | refused  |
      | submission | not-sent not-sent        | store-unavailable  | lost     |
      | submission | lost refused             | acceptance-unknown | lost     |
      | submission | refused unsure           | acceptance-unknown | refused  |
      | submission | lost rejected            | acceptance-unknown | lost     |
      | submission | refused rejected         | 401                | answered |
      | submission | silent rejected          | acceptance-unknown | lost     |
      | submission | silent served            | 200                | answered |
      | submission | silent silent            | acceptance-unknown | lost     |
      | GET        | lost rejected            | 401                | answered |
      | GET        | lost refused             | store-unavailable  | lost     |
      | GET        | silent silent            | store-unavailable  | lost     |

  Scenario: Entries that refuse everything are not flooded
    Given a forwarder with scripted entries "refused refused refused refused"
    When 400 requests are forwarded within 4 seconds
    Then at most 630 attempts were made

  Scenario: An entry forwards a bounded number of requests at a time
    Given a forwarder with scripted entries "silent silent silent silent"
    When 400 requests are forwarded within 0 seconds
    Then at most 64 requests are in flight and the others were refused at once

  Scenario: An entry that alternates between silence and answers is reported once
    Given a logged forwarder with scripted entries "flapping"
    When 100 requests are forwarded within 5 seconds
    Then 1 line "CW1711" and 1 line "CW1712" name the entry

  Scenario: An entry that is stopping still serves other entries
    Given a site of entries in zones "a b"
    When entry 0 has been refused by the store for 5 seconds
    And entry 1 begins to stop
    And a job is submitted at entry 0
    Then the submission is answered with 200

  Scenario Outline: Internal ports <ports> give forwarding the port <port>
    Given platform settings with internal ports "<ports>"
    Then forwarded requests are taken at port "<port>"

    Examples:
      | ports     | port |
      | 7000 7015 | 7001 |
      | 7000 7000 | none |
      | 0 0       | none |

  Scenario: An entry that stops is no longer asked
    Given 4 entries that publish their addresses
    When entry 3 withdraws
    Then within 6 seconds no other entry lists entry 3
    And within 20 seconds no other entry lists entry 3
    And entry 3 has removed its address once

  Scenario: The directory survives a loss of the store
    Given 4 entries that publish their addresses
    When the store refuses every entry for 60 seconds
    Then every entry lists the 3 others

  Scenario: The directory adds few calls to a store that refuses calls
    Given 4 entries that publish their addresses
    When the store refuses every entry for 60 seconds
    Then each entry made at most 22 calls about addresses

  Scenario: An address is published once the store takes it
    Given 4 entries that start while the store refuses them
    When the store takes calls again for 25 seconds
    Then every entry lists the 3 others

  Scenario: A removal that is carried out late is corrected
    Given 4 entries that publish their addresses
    When the record of entry 3 is removed by an earlier process
    Then within 15 seconds every entry lists the 3 others

  Scenario: Entries that start together spread their records
    Given 32 entries that publish their addresses
    Then at most 16 appends of addresses fell into 0.4 seconds
    And each entry made at most 6 calls about addresses
    When all entries start again
    Then no address was appended again

  Scenario: An idle entry pays for few calls
    Given 4 entries that publish their addresses
    When 100 seconds pass on the site
    Then each entry made at most 5 calls about addresses

  Scenario: Malformed addresses are skipped
    Given 4 entries that publish their addresses
    When records that are no addresses are stored
    Then every entry lists the 3 others

  Scenario: An address is published after a store that refused for hours
    Given an entry whose address the store has refused 1100 times
    When the store takes appends again
    Then the address is stored within 16 seconds

  # The store serializes appends; with one for each submission it takes 5 of 16
  # a second.
  Scenario: Many entries get their submissions into a slow store
    Given a site of entries in zones "a b c a b c a b c a b c a b c a"
    And appends of jobs take 0.2 seconds each, one after the other
    When 48 jobs are submitted within 3 seconds, spread over all entries
    Then at least 0.95 of them are accepted before their deadline
    And every accepted job is stored
