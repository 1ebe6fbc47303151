Feature: Who gets a slot of a pool, under the load patterns of a fleet that is nearly full

  Scenario: Online bursts over a backlog of batch items
    When online load steps between 14 and 69 requests a second over 5 batch items a second
    Then 99 in 100 online requests wait no longer than a slot takes to come back
    And fewer than 1 in 4 batch starts are stopped before they did any work
    And 95 in 100 items are done within 18 s

  Scenario: Online bursts beyond the pool
    When online load steps between 14 and 100 requests a second over 5 batch items a second
    Then no online request waits beyond a caller's patience
    And batch items are done all the same

  Scenario: Online peaks a fifth above what the pool can run
    When online load steps between 14 and 115 requests a second over 5 batch items a second
    Then 8 in 10 online requests wait no longer than an answer in time allows
    And no request is refused, and none waits beyond a caller's patience

  Scenario: A pool full of online requests refuses at once what would wait too long
    When 400 requests arrive at once at a pool of 8 slots
    Then those that would wait beyond their deadline are refused at once, with when to come back

  Scenario: The item that is due last yields first
    When online requests arrive at a pool full of items
    Then the items due last are stopped, one for each request

  Scenario: A lost owner's grants are known to the next before it grants
    When a holder reports its grants to a fresh pool that is asked at once
    Then the fresh pool has online requests go on alone, and grants no slot that is taken

  Scenario: A failing server is left alone for a while
    When one of two servers fails each run
    Then most requests are granted at the other one

  Scenario: Several owners granted the same slots for a moment
    When holders report 6 items on a server of 4 slots
    Then the 2 items due last are stopped

  Scenario: A fresh owner starts no items before the others had time to object
    When items ask a fresh pool of 8 slots
    Then none starts within the first second, and all start after it

  Scenario: Servers still run what nodes that lost power had asked for
    When one of two servers reports 4 runs that no holder knows of
    Then online requests prefer the other server and items start only there
    And once the runs are over, items start on both

  Scenario: Two of nine servers fail half of their runs at once
    When online load runs on 9 servers of which 2 fail half of their runs after 20 ms
    Then fewer than half as many requests fail as with equal shares
    And no request is refused

  Scenario: All servers fail more than half of their runs
    When online load runs on 9 servers of which 9 fail 6 in 10 of their runs after 20 ms
    Then no request is refused, and none waits beyond a caller's patience

  Scenario: Two of nine servers are three times as slow
    When a low online load runs on 9 servers of which 2 take three times as long
    Then fewer than a quarter as many requests run there as with equal shares

  Scenario: Two of nine servers never answer some of their runs
    When online load runs on 9 servers of which 2 hang in 4 of 10 runs until callers leave
    Then fewer than half as many requests hang as with equal shares
    And no request is refused
