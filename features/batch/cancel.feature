Feature: A cancelled job stops, with exact counts

  Scenario Outline: A cancel while items run
    When a running job is cancelled <times> times, with the disturbance "<disturbance>"
    Then no item starts later than 5 s after the acknowledgement
    And the job ends as cancelled with exact counts and nothing is appended later

    Examples:
      | times | disturbance                   |
      | 1     | none                          |
      | 3     | none                          |
      | 1     | a runner is killed            |
      | 1     | answers of the store are lost |

  Scenario: A job cancelled around its completion ends in one state
    When a job is cancelled at every moment around its completion
    Then each job ends as completed or cancelled with exact counts

  Scenario: A cancel during a store outage has an unknown outcome, and succeeds after the outage
    When a job is cancelled during an outage and again after it
    Then the first cancel is answered with "cancel_unknown" and the second is acknowledged
    And the job ends as cancelled with exact counts and nothing is appended later
