Feature: Requests go where they start soonest

  Scenario: Equal prefixes meet on the same servers, and other servers keep no copy
    When 40 sessions of 8 requests share 320 tokens each on 6 engines
    Then every routed answer is whole
    And the engines prefilled at most half of the prompt tokens

  Scenario: One prefix for all does not pile up on two servers
    When 60 requests with one prefix arrive at once on 6 engines
    Then every routed answer is whole
    And no engine had more than 20 of them at once

  Scenario: Gateways that have seen no load or the same stale load do not pile on one server
    When 6 gateways with one stale load route 600 requests at once
    Then no server is chosen for more than 150 of them

  Scenario: A gap in cache events drops the index of that server alone
    When cache events of two servers arrive and one has a gap
    Then nothing is known of the server with the gap but what came after it
    And the other server's index is kept

  Scenario: An engine that loses its events still answers
    When cache events are dropped and 20 requests with one prefix run on 2 engines
    Then every routed answer is whole

  Scenario: Only servers with the adapter get its requests
    When 30 requests ask for an adapter that one of 3 engines has
    Then every routed answer is whole
    And the other engines were sent none of them
