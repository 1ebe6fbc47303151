Feature: Jobs are done before they are due, or it is said early that they won't be

  Scenario: The job with the least slack goes first, though it came last
    Given a long job that is due in an hour and runs
    When a short job that is due in 60 s is submitted
    Then the short job ends before it is due and before the long one

  Scenario: A job that will be late is said to be so before it is due
    Given a long job that is due in 30 s
    When 20 s have passed
    Then its metric counts it and its status says within a factor of two when it will end
