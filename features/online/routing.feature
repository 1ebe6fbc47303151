Feature: Requests go where they start soonest

  Scenario: Equal prefixes go to the same servers and are prefilled on no others
    When 40 sessions of 8 requests share 320 tokens each on 6 engines
    Then every routed answer is complete
    And the engines prefilled at most half of the prompt tokens

  Scenario: A prefix shared by all requests does not overload two servers
    When 60 requests with one prefix arrive at once on 6 engines
    Then every routed answer is complete
    And no engine had more than 20 of them at once

  Scenario: Gateways with no load report, or the same stale one, do not overload one server
    When 6 gateways with one stale load route 600 requests at once
    Then no server is chosen for more than 150 of them

  Scenario: A gap in cache events clears the index of that server only
    When cache events of two servers arrive and one has a gap
    Then the index of the server with the gap has only the blocks after it
    And the other server's index is kept

  Scenario: An engine whose cache events are lost still answers
    When cache events are dropped and 20 requests with one prefix run on 2 engines
    Then every routed answer is complete

  Scenario: Only servers with the adapter get its requests
    When 30 requests ask for an adapter that one of 3 engines has
    Then every routed answer is complete
    And the other engines were sent none of them
