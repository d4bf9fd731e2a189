Feature: Bundles
  A bundle that is parsed wrongly puts wrong limits in force at the whole site.
  This happens if a misspelt option or a contradiction is accepted, or if the
  incremental parser or a delta yields another bundle than the full text.

  Scenario Outline: The example bundles are sound and of today's size
    Given the bundle file clementinewood/examples/<site>.ini
    Then it declares site <site> with 3 zones, 5 pools of 6 workers and 240 slots
    And 5 minion slots of 8 and 64 connections, and 6 customers or more
    And each secret in its comments matches the digest of its key

    Examples:
      | site    |
      | guild   |
      | sanctum |

  Scenario: Every error is reported at once, with its line
    Given the bundle file clementinewood/examples/guild.ini
    When line "limit = 160" of it becomes "limt = 160"
    And line "slots = 8" of it becomes "slots = eight"
    And line "region = tasmania" of it becomes "regoin = tasmania"
    Then the bundle errors are
      | section       | option | value    | allowed                       | near   |
      | zone hobart   | regoin | tasmania | state, region                 | region |
      | zone hobart   | region |          | a name                        |        |
      | service quotes | slots | eight    | a whole number, 1 to 1000000  |        |
      | team canvas   | limt   | 160      | share, limit                  | limit  |
      | team canvas   | limit  |          | a whole number, 0 to 1000000  |        |
    And each bundle error names the line it is on

  Scenario Outline: Contradictions are refused
    Given the bundle file clementinewood/examples/guild.ini
    When line "<line>" of it becomes "<change>"
    Then the only bundle error is in section <section>, option <option>, and says "<detail>"

    Examples:
      | line                          | change                        | section           | option               | detail                                   |
      | share = 0.35                  | share = 0.45                  | team open         | share                | add up to 1.1                            |
      | limit = 160                   | limit = 300                   | team canvas       | limit                | the fleet has only 240 slots             |
      | limit = 160                   | limit = 50                    | team canvas       | limit                | is 84 of 240 slots                       |
      | max_unavailable = 1           | max_unavailable = 0           | pool quotes       | max_unavailable      | no worker may ever be maintained         |
      | max_unavailable = 1           | max_unavailable = 7           | pool quotes       | max_unavailable      | has only 6 workers                       |
      | max_unavailable_zone = 2      | max_unavailable_zone = 1      | pool quotes       | max_unavailable_zone | holds 2 of 6 workers                     |
      | duration = 30m                | duration = 8d                 | pool quotes       | max_unavailable      | do not fit the maintenance interval      |
      | workers = stores-[1-6]        | workers = stores-[1-5] quotes-2 | pool stores     | workers              | 'quotes-2' is already in pool 'quotes'   |
      | pool = stores                 | pool = store                  | queue stores      | pool                 | pool 'store' is not declared             |
      | teams = office                | teams = ofice                 | queue noticeboard | teams                | team 'ofice' is not declared             |
      | team = marquee                | team = marque                 | key marquee-bass  | team                 | team 'marque' is not declared            |
      | run_limit = 20s               | run_limit = 40s               | queue stores      | run_limit            | stops requests after 30 s                |
      | run_limit = 60s               | run_limit = 3m                | service claims    | run_limit            | run limit out of range                   |
      | open = yes                    | open = maybe                  | queue noticeboard | open                 | neither yes nor no                       |
      | workers = quotes-[1-6]        | workers =                     | queue quotes      | pool                 | has no workers, so the queue would       |
      | [team open]                   | [team opened]                 | queue noticeboard | open                 | team 'open' is not declared              |
      | [rollout]                     | [rolout]                      | rolout            |                      | unknown section                          |
      | [zone burnie]                 | [zone burnie] # west          |                   |                      | stands alone                             |
      | [zone burnie]                 | [zone  hobart]                | zone hobart       |                      | section was given on line                |

  Scenario: A bundle with a queue that no team can use is refused
    Given the bundle file clementinewood/examples/sanctum.ini
    When line "limit = 140" of it becomes "limit = 0"
    Then the only bundle error is in section queue renders, option teams, and says "would be stranded"

  Scenario: Incremental parsing gives the same result as parsing the whole text
    Then 80 random edits read the same through a used and a new bundle parser
    And that comparison fails for a parser that reuses sections by name

  Scenario: Any text is refused with errors or read, never raises
    Then 300 random and mutated bundle texts are read or refused

  Scenario: Differences are reported as text and as typed changes
    Given the bundle file clementinewood/examples/guild.ini
    When it is compared with one where these lines change
      | line          | change        |
      | state = in    | state = out   |
      | limit = 160   | limit = 150   |
      | state = granted | state = revoked |
      | teams = office | teams = office, canvas |
    Then the bundle differences read
      | text                                            |
      | zone hobart is taken out of service             |
      | queue noticeboard: teams gains canvas           |
      | team canvas: limit falls from 160 to 150        |
      | key canvas-salamanca is revoked                 |
    And the typed bundle change of team canvas is limit from 160 to 150

  Scenario: A queue in use is removed only after it was closing
    Given the bundle file clementinewood/examples/guild.ini
    Then removing queue claims at once is refused as stranding requests
    And removing queue claims after closing = yes is allowed

  Scenario: Deltas of any two texts restore the second
    Then 200 random pairs of texts are restored from their deltas
    And random bytes as a delta raise nothing but ValueError
