Feature: Commands shown in the documentation
  Guards against documented shell commands that fail and against broken links.
  Both appear when a command, option, file or heading changes and the page does
  not; an operator then loses time at the start of an incident.

  Scenario Outline: Every shell command of <page> succeeds
    Given a dev site for the page's addresses
    Then every shell command of "<page>" succeeds

    Examples:
      | page          |
      | quickstart.md |
      | operate.md    |
      | security.md   |
      | events.md     |
      | metrics.md    |

  Scenario: Links between pages have an existing target
    Then every link in the README and the pages names a file and a heading
