Feature: An item that always fails doesn't delay others

  Scenario: An item that crashes each backend server is quarantined, and all others complete
    Given a job with an item that crashes each backend server
    When the job has run
    Then that item has one result with the error "quarantined" after 2 runs
    And backend servers crashed 2 times
    And all other items have their complete text

  Scenario: An item that engines refuse each time ends with one error result
    Given a job with an item that each backend server refuses
    When the job has run
    Then that item has one result with the error "attempts_exhausted" after 0 runs
    And all other items have their complete text

  Scenario: An item that engines refuse as invalid ends at once
    Given a job with an item that engines refuse as invalid
    When the job has run
    Then that item has one result with the error "invalid_request" after 0 runs
    And all other items have their complete text

  Scenario: Waiting for a server or losing a slot doesn't count as an attempt of an item
    Given a job whose backend servers become unavailable again and again
    When the job has run
    Then all items have their complete text

  Scenario: A revoked slot is released at once, and the item resumes after its last token
    Given a job of long items on one backend server with 8 slots
    When online requests take its slots back
    Then the items resume after the tokens that they had received
    And all items have their complete text
