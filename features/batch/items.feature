Feature: One item that can never be done holds nothing up

  Scenario: An item that crashes each backend server is quarantined, and no other suffers
    Given a job with an item that crashes each backend server
    When the job has run
    Then that item has one result with the error "quarantined" after 2 runs
    And 2 crashes of backend servers were seen
    And all other items have their whole text

  Scenario: An item that engines refuse each time ends with one error result
    Given a job with an item that each backend server refuses
    When the job has run
    Then that item has one result with the error "attempts_exhausted" after 0 runs
    And all other items have their whole text

  Scenario: An item that engines refuse as invalid ends at once
    Given a job with an item that engines refuse as invalid
    When the job has run
    Then that item has one result with the error "invalid_request" after 0 runs
    And all other items have their whole text

  Scenario: Being without a server, or giving slots back, is no attempt of an item
    Given a job whose backend servers go away again and again
    When the job has run
    Then all items have their whole text

  Scenario: A revoked slot is given back at once, and the item goes on after its last token
    Given a job of long items on one backend server with 8 slots
    When online requests take its slots back
    Then the items go on after the tokens that they had
    And all items have their whole text
