Feature: Jobs complete before they are due, or are reported late in advance

  Scenario: The job with the least slack runs first, though it was submitted last
    Given a running long job that is due in an hour
    When a short job that is due in 60 s is submitted
    Then the short job ends before it is due and before the long one

  Scenario: A job that will be late is reported before it is due
    Given a long job that is due in 30 s
    When 20 s have passed
    Then the metric of late jobs counts it and its status predicts its end within a factor of two
