Feature: Admission
  Guards against work that is charged to another team, and against requests
  admitted with a revoked key; both break P3. They happen if keys are compared
  by prefix or if an unknown or revoked key passes the check. Also guards against
  requests that override the customer of their key or raise the class of a queue.

  Background:
    Given a bundle with a granted, a revoked and an orphaned key

  Scenario Outline: <credentials> on queue <queue>
    When credentials "<credentials>" ask for queue "<queue>"
    Then admission answers <answer>

    Examples:
      | credentials    | queue  | answer          |
      | good.secret    | quotes | team guild      |
      | good.secret    | open   | team guild      |
      | good.secret    | stores | queue-forbidden |
      | good.secret    | none   | queue-unknown   |
      | good.secret    | old    | queue-closing   |
      | good.secre     | old    | key-unknown     |
      | good.secre     | quotes | key-unknown     |
      | good.          | quotes | key-unknown     |
      | good           | quotes | key-unknown     |
      | .secret        | quotes | key-unknown     |
      | empty.         | quotes | key-unknown     |
      | other.secret   | none   | key-unknown     |
      | other.secret   | open   | key-unknown     |
      | revoked.secret | quotes | key-revoked     |
      | revoked.secret | open   | key-revoked     |
      | revoked.wrong  | quotes | key-unknown     |
      | orphan.secret  | quotes | queue-forbidden |
      | -              | open   | team open       |
      | -              | quotes | key-missing     |
      | -              | none   | key-missing     |

  Scenario: A customer bound to a key can't be overridden
    Then key "good" runs as customer "kiosk" whatever the request says
    And key "free" runs as the customer that the request names

  Scenario: Unknown keys take the same comparison as known ones
    Then known, unknown and revoked keys each take one constant-time comparison

  Scenario: No guessed credentials are let in
    Then no generated credentials are admitted

  Scenario: The guessing check notices a comparison by prefix
    Given an admission that compares prefixes
    Then some generated credentials are admitted

  Scenario: Oversized credentials are refused
    Then credentials of 100000 characters are refused as key-unknown

  Scenario Outline: A request may lower its class but not raise it
    Then class "<asked>" on a queue of class "<ceiling>" gives "<result>"

    Examples:
      | asked       | ceiling     | result      |
      | urgent      | interactive | interactive |
      | overnight   | interactive | overnight   |
      | urgent      | urgent      | urgent      |
      | -           | overnight   | overnight   |
