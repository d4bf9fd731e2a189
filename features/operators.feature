Feature: Operators' commands against a running site
  Guards against commands that present the view of one entry as that of the site,
  and against refused requests whose reason can't be looked up. Both happen if a
  command hides entries that did not answer, or if the bounded request log loses
  the request; the operator then acts on incomplete information.

  Scenario: Each command answers and has the documented exit code
    Given a dev site in a process of its own
    Then these operators' commands end so
      | command                                                     | code | output                |
      | status ALL                                                  | 0    | entry-3               |
      | status ALL --json                                           | 0    | "incarnation"         |
      | status ALL --entry 127.0.0.1:9                              | 9    | 127.0.0.1:9: [Errno   |
      | status --entry 127.0.0.1:9                                  | 6    | no entry answered     |
      | status --entry LOG                                          | 6    | no entry answered     |
      | status ALL --token-file missing                             | 7    | missing               |
      | status --entry nowhere                                      | 2    | not an IP                 |
      | top ALL --once                                              | 0    | entries 3  whole      |
      | top ALL --seconds 0.3 --interval 0.1                        | 0    | entries 3  whole      |
      | top --entry 127.0.0.1:9 --once                              | 6    | no entry answered     |
      | explain ALL canvas                                          | 0    | limit: 160            |
      | explain ALL quotes-1                                        | 0    | serves pool quotes    |
      | explain ALL no/such?thing                                   | 8    | 'no/such?thing'       |
      | explain --entry 127.0.0.1:9 canvas                          | 6    | could be reached      |
      | bundle plan site/bundle.ini FIRST                           | 1    | version 1 is in force |
      | load ALL --queue quotes --key KEY --rate 50 --seconds 0.4   | 0    | "statuses": {"200": 20} |
      | load ALL --queue quotes --key-file missing                  | 7    | missing               |
      | load --entry 127.0.0.1:9 --queue quotes --rate 9 --seconds 0.2 | 6 | "not-sent": 2         |
      | load FIRST --queue quotes --rate 50 --seconds 0.2           | 0    | "key-missing": 10     |
    And of a load with each idempotency key sent twice half never run again
    And explain tells why a request was answered and why one was refused

  Scenario: The operators' token opens the pages, and only the right one
    Given a dev site in a process of its own that asks for a token
    Then these operators' commands end so
      | command                              | code | output                |
      | status ALL                           | 3    | operator token needed |
      | top ALL --once                       | 3    | operator token needed |
      | explain ALL canvas                   | 3    | operator token needed |
      | bundle history ALL                   | 3    | operator token needed |
      | bundle roll site/signed.ini ALL      | 3    | operator token needed |
      | status ALL --token-file wrong        | 3    | operator token needed |
      | status ALL --token-file token        | 0    | entry-3               |
      | top ALL --once --token-file token    | 0    | entry-3               |
      | explain ALL canvas --token-file token | 0   | limit: 160            |
      | bundle plan site/bundle.ini ALL --token-file token | 1 | version 1 is in force |
      | bundle roll site/signed.ini ALL --token-file token | 0 | in force at all |

  Scenario: The status names every entry that is not ready or has an older bundle
    Given status pages of an entry that is not ready, an older one and a whole one
    Then the status view names the first as not ready and the second as older

  Scenario: The request log is bounded, and refusals of strangers evict no other requests
    Given a request log that keeps 3 requests of each kind
    When 5 answers, 2 refusals of a team and 50 refusals of strangers end
    Then the request log knows the last 3 answers, both refusals and 3 strangers
    And it keeps at most 64 characters of a queue name
