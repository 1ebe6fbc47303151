Feature: Work for the whole fleet falls to the machines with the most processor time

  Scenario: Granting slots
    When 2 nodes of 2 cores join 2 nodes of half a core
    Then all nodes take the same one of the larger as the owner of the pool
    And a smaller one owns it within 6 s of the loss of both larger ones
