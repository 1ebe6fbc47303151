Feature: Single items of jobs, in simulated time

  # Guards against a back-off that fails after some hundred waits and so ends the run of a whole job.
  Scenario: An item that no server takes for three hours is given up only then
    When an item may run for three hours and its service has no backend server
    Then it is given up when three hours have passed
