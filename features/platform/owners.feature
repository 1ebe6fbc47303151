Feature: Fleet-wide work is owned by the machines with the most processor time

  Scenario: A larger node owns a pool, and a smaller one once the larger ones are lost
    When 2 nodes of 2 cores join 2 nodes of half a core
    Then all nodes name the same larger node as the owner of the pool
    And a smaller node owns the pool within 6 s of the loss of both larger ones

  Scenario: Many nodes that start together
    When 12 nodes start within half a second
    Then 3 s later each knows all the others, and all name the same owner
