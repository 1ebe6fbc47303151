Feature: Engines reach the declared state by orders of one lease holder at a time

  Scenario: A new version is rolled out one engine at a time, within the weight store's rate
    Given 4 engines with weights of 40 GB and a weight store of 2 GB/s
    When version 2 is declared
    Then each engine loaded version 2 once, and 3 of them served at any time
    And loads were at least 20 s apart

  Scenario: Adapters change without loading weights
    Given 4 engines
    When other adapters are declared
    Then every engine has the new adapters without loading weights, and 4 of them served at any time

  Scenario: A rollout of a version loses no request
    Given 4 engines
    When version 2 is declared while callers stream
    Then no request failed, and each engine loaded version 2 once

  Scenario Outline: Orders that are <fate> are corrected
    Given 4 engines
    When version 2 is declared while orders are <fate> for 30 s
    Then each engine loaded version 2 once, and 3 of them served at any time

    Examples:
      | fate                      |
      | lost                      |
      | applied but not answered  |

  Scenario: The lease holder dies during a rollout
    Given 4 engines
    When version 2 is declared and the holder dies 8 s later
    Then each engine loaded version 2 once, and 3 of them served at any time
    And the next holder's orders have a higher fencing number, and the lease never had two holders

  Scenario Outline: A frozen holder's order arrives after the next holder's at engines that <check>
    Given 4 engines that <check> the fencing number
    When the holder freezes while it orders version 2, and resumes after version 3 is in force
    Then the frozen holder's late orders were <fate>, and every engine serves version 3 in the end
    And the lease never had two holders

    Examples:
      | check  | fate      |
      | check  | refused   |
      | ignore | corrected |

  Scenario: The Object API is unavailable for an hour
    Given 4 engines
    When version 2 is declared and the Object API is unavailable for 3600 s from 8 s later
    Then no order was sent while no lease could be renewed
    And each engine loaded version 2 once, and 3 of them served at any time
    And the lease never had two holders

  Scenario: A controller that stops gracefully hands over at once
    Given 4 engines
    When the holder stops gracefully
    Then another controller holds the lease within 6 s

  Scenario: An engine changed by another client is corrected
    Given 4 engines that ignore the fencing number
    When an engine is ordered to version 9 by another client
    Then every engine serves version 1 within 40 s

  Scenario: Freezes and store faults never let two claimants hold a lease, and calls stay few
    When 100 seeded schedules of freezes, lost answers, late writes and outages hit 3 claimants
    Then the lease never had two holders, and no order took effect after one with a higher epoch
    And one claimant holds the lease in the end, for at most 1 store call a second
