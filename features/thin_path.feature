Feature: The end-to-end path, from the caller to a backend server and back

  Scenario: A completion, a plain call and a batch job are served by a fleet in virtual time
    Given a fleet of 3 VMs and 3 engines
    When a caller streams a completion of 20 tokens
    And a caller makes a plain service call
    And a caller submits a job of 200 items
    Then each answer is complete and each item has one result
