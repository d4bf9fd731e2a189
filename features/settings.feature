Feature: Settings of an entry
  An entry that starts with wrong settings joins the wrong fleet or refuses its
  callers. This happens if a misspelt option, a contradiction or an unsafe value
  is accepted. Error messages must not reveal the cluster key.

  Scenario: Complete settings are read
    Given sound settings of entry-1
    Then its settings name zone hobart, entries entry-2 and operator night
    And settings printed for a log do not show the cluster key

  Scenario: Every error in settings is reported at once, with its line
    Given sound settings of entry-1
    When these settings lines change
      | line                     | change                 |
      | zone = hobart            | zoen = hobart          |
      | callers = 127.0.0.1:8001 | callers = hobart:8001  |
      | body_bytes = 2000000     | body_bytes = -5        |
      | level = info             | level = loud           |
      | entry-2 = 127.0.0.1:9002 | entry-2 = 127.0.0.1    |
    Then the settings errors are
      | line | section | option     | value       | near |
      | 1    | entry   | zone       |             |      |
      | 3    | entry   | zoen       | hobart      | zone |
      | 4    | entry   | callers    | hobart:8001 |      |
      | 11   | peers   | entry-2    | 127.0.0.1   |      |
      | 15   | edge    | body_bytes | -5          |      |
      | 17   | logging | level      | loud        |      |

  Scenario Outline: Contradictions and unsafe settings are refused
    Given sound settings of entry-1
    When the settings line "<line>" becomes "<change>"
    Then the settings are refused, saying "<detail>"

    Examples:
      | line                     | change                   | detail                             |
      | peers = 127.0.0.1:9001   | peers = 127.0.0.1:8001   | callers and peers need different   |
      | entry-1 = 127.0.0.1:9001 | entry-1 = 127.0.0.1:9009 | this entry itself                  |
      | entry-2 = 127.0.0.1:9002 | entry-2 = 127.0.0.1:9001 | address is that of entry 'entry-1' |
      | night = KEY 1900000000   | night = KEY soon         | expiry time                        |
      | night = KEY 1900000000   | # none                   | no operator could sign             |
      | [edge]                   | [egde]                   | unknown section                    |
      | cluster_key = SECRET     | cluster_key = abcd       | key is too short                   |

  Scenario: A wrong cluster key is not repeated in the error
    Given sound settings of entry-1
    When the settings line "cluster_key = SECRET" becomes "cluster_key = s3cret"
    Then no settings error shows "s3cret"
