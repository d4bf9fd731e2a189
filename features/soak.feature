Feature: Real processes under random faults
  Guards against guarantees that hold in one process on a manual clock and fail
  between real processes, where timing, sockets and process exits are real.
  Longer runs: python -m features.soak --help

  Scenario: A short run of one seed keeps every guarantee
    When the soak runs seed 2 with 3 entries and 6 seconds of faults
    Then no promise was broken
    And every accepted job was completed or cancelled

  # The completion was known to processes only, and all of them lost power.
  Scenario: A job that was shown as completed runs again after a power loss
    When the soak runs seed 101 of the mix power with 4 entries and 20 seconds of faults
    Then no promise was broken
    And every accepted job was completed or cancelled
