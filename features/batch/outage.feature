Feature: Batch jobs survive an outage or throttling of the store

  Scenario: An outage pauses items once the buffer is full, and its end causes no burst of calls
    Given batch jobs that may buffer 20 KB of results a VM
    When the store is unavailable for 120 s
    Then items ran in the outage until the buffer was full, and no longer
    And no call was throttled after the outage and the busiest second had at most 100 calls
    And the checker finds nothing lost, doubled, run after its seal or falsely refused

  Scenario: A throttled store gets fewer and larger entries
    Given batch jobs that may buffer 20000 KB of results a VM
    When the store allows 3 writes and 10 reads a second
    Then at most a quarter of the calls are throttled
    And the checker finds nothing lost, doubled, run after its seal or falsely refused

  Scenario: A process that calls as often as its budget allows adapts to the store's rate
    When 50 tasks of one process read constantly from a store of 5 reads a second, 30 s to adapt and 120 s more
    Then at most a quarter of the calls are throttled
    And at least half of the store's rate is used
