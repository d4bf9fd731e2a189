Feature: Commands shown in the documentation
  A page whose commands fail costs an operator the night's first minutes.

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

  Scenario: Links between pages lead somewhere
    Then every link in the README and the pages names a file and a heading
