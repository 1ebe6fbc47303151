Feature: A submission creates one job, or is refused only if no item of it runs

  Scenario: A job with an invalid line is refused with the line's number
    When a job whose line 1500 is invalid is submitted
    Then the job is refused with the code "invalid_request" and a message with "line 1500"
    And nothing of the submission is left in the store

  Scenario Outline: A job over a limit of the rules is refused
    Given rules with "<rule>" of <limit>
    When a job of 60 items is submitted
    Then the job is refused with the code "<code>"
    And nothing of the submission is left in the store

    Examples:
      | rule            | limit | code          |
      | max_job_bytes   | 1000  | job_too_large |
      | max_active_jobs | 0     | too_many_jobs |

  Scenario: Resends by two gateways, during and after the first, are the same job
    When the same job of 2500 items is submitted by three gateways at once and once more later
    Then all get the same job and its items ran once
    And only the accepted upload's inputs are in the store

  Scenario: A job with the id of an accepted job and other content is refused
    When a job is submitted, and then another with its id and other content
    Then the job is refused with the code "job_conflict" and a message with "other content"

  Scenario: A job runs although its gateway's VM is lost right after the answer
    When a VM is lost right after it accepted a job
    Then the job completes

  Scenario Outline: The store fails while the job is recorded
    Given a store whose record write "<failure>"
    When a job of 60 items is submitted
    Then the caller gets "<answer>" and a late write does not change that

    Examples:
      | failure                                        | answer             |
      | loses its answer once                          | accepted           |
      | is throttled for a while                       | accepted           |
      | takes effect late, the store answers meanwhile | accepted           |
      | fails until the gateway gives up               | store_unavailable  |
      | takes effect after a void record               | store_unavailable  |
      | takes effect after an outage of everything     | acceptance_unknown |

  Scenario: Uploads that were never accepted are removed after a timeout
    Given an upload whose gateway was lost before the acceptance
    When the upload timeout of 300 s passes
    Then nothing of the submission is left in the store

  Scenario: Finished jobs are removed after their retention period, and their id may be used again
    Given rules with "retention_days" of 1
    When a job has completed and two days pass
    Then nothing of the job is left in the store
    And the same id is accepted again
