Feature: A request that crashes backend servers costs at most two of them

  Scenario Outline: A crashing request among innocents, resent through other gateways
    When a crashing request and 20 innocents run, resent <resent>, seed <seed>
    Then at most 2 crashes happened
    And every innocent has its whole answer
    And each caller of the crashing request was told quarantined, for good

    Examples:
      | resent                    | seed |
      | at once and 10 s later    | 1    |
      | at once and 10 s later    | 2    |
      | at once and 10 s later    | 3    |
      | after 30 ms and 300 ms    | 4    |
      | after 300 ms and 2 s      | 5    |
      | while it runs and 10 s later | 6 |

  Scenario: A fresh gateway knows what was quarantined before, also when all others are gone
    When a request was quarantined, every VM is replaced and it is sent again
    Then at most 2 crashes happened
    And each caller of the crashing request was told quarantined, for good

  Scenario: The store is down while a request crashes servers
    When the store is down, a crashing request runs among 10 innocents and comes again
    Then at most 2 crashes happened
    And every innocent has its whole answer

  Scenario: A batch item whose content is quarantined ends with that error
    When a request was quarantined online and a job has it as one of 5 items
    Then at most 2 crashes happened
    And the job's results are 4 texts and one quarantined

  Scenario: Suspects run alone
    When a server with 12 streams crashes for another reason
    Then every answer is whole, and no two suspects ran on one server at once

  Scenario: Copies of a suspect that run elsewhere are interrupted
    When 6 copies of one request run through 3 gateways and one of their servers crashes
    Then each copy is whole, and one ran at a time until the first had finished

  Scenario: Notices merge to the same entry in any order
    When 200 random sets of notices are merged in two orders
    Then the entries are equal and the table stays within its bound
