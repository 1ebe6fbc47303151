Feature: Single items of jobs, in virtual time

  # Guards against a back-off that raises an error after some hundred retries, which stops the job.
  Scenario: An item that no server accepts is retried until its time limit of three hours
    When an item may run for three hours and its service has no backend server
    Then it is abandoned when three hours have passed
