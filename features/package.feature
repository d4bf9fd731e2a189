Feature: An installed copy
  Guards against files that a checkout has and an installed package lacks, and
  against a package whose modules hide those of the standard library.

  Scenario: The dev site runs from an installed copy
    Given the package is installed into an empty folder
    When its dev site runs for 2 seconds in another folder
    Then it names its entries

  Scenario: The platform's entry can be imported beside the standard module
    Given the package is installed into an empty folder
    When the platform's entry is imported from there
    Then the standard module "platform" is still the library's own

  Scenario: A signal that settings have changed does not end a process that starts
    Given the settings file of an entry is malformed
    When its process gets SIGHUP as soon as it does not end by it
    Then the signal came before its first line
    And it exits with status 2
