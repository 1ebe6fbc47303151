Feature: A request that crashes backend servers is refused after two crashes

  Scenario Outline: A crashing request among harmless ones, resent through other gateways
    When a crashing request and 20 harmless ones run, resent <resent>, seed <seed>
    Then at most 2 crashes happened
    And every harmless request gets its complete answer
    And each caller of the crashing request got the error quarantined, without a retry time

    Examples:
      | resent                    | seed |
      | at once and 10 s later    | 1    |
      | at once and 10 s later    | 2    |
      | at once and 10 s later    | 3    |
      | after 30 ms and 300 ms    | 4    |
      | after 300 ms and 2 s      | 5    |
      | while it runs and 10 s later | 6 |

  Scenario: A new gateway loads the stored quarantine, also when all others were replaced
    When a request was quarantined, every VM is replaced and it is sent again
    Then at most 2 crashes happened
    And each caller of the crashing request got the error quarantined, without a retry time

  Scenario: The store is down while a request crashes servers
    When the store is down, a crashing request runs among 10 harmless ones and is resent
    Then at most 2 crashes happened
    And every harmless request gets its complete answer

  Scenario: A batch item whose content is quarantined ends with that error
    When a request was quarantined online and a job has it as one of 5 items
    Then at most 2 crashes happened
    And the job's results are 4 texts and one quarantined

  Scenario: No two suspects run on one server at once
    When a server with 12 streams crashes for another reason
    Then every answer is complete, and no two suspects ran on one server at once

  Scenario: Copies of a suspect that run elsewhere are interrupted
    When 6 copies of one request run through 3 gateways and one of their servers crashes
    Then each copy gets its complete answer, and one ran at a time until the first had finished

  Scenario: Notices merge into the same entry in any order
    When 200 random sets of notices are merged in two orders
    Then the entries are equal and the table stays within its bound
