Feature: A call to a plain service that may not be repeated runs at most once

  Scenario Outline: A gateway is killed <moment>, and the call is sent again through another
    Given two gateways in front of a register service
    When the first gateway is killed <moment> of a keyed call
    And the keyed call is sent again through the second gateway <later> s later
    Then the register ran the key <runs> times
    And the resend received <reply>

    Examples:
      | moment                     | later | runs | reply           |
      | after the claim            | 1     | 0    | in_progress     |
      | after the claim            | 60    | 0    | outcome_unknown |
      | during the run             | 0.1   | 1    | in_progress     |
      | during the run             | 60    | 1    | outcome_unknown |
      | before the outcome's write | 1     | 1    | in_progress     |
      | before the outcome's write | 60    | 1    | outcome_unknown |
      | after the answer           | 1     | 1    | the same answer |

  Scenario: A call is sent again through another gateway while the first still runs
    Given two gateways in front of a register service
    When a keyed call runs for 2 s and is sent again meanwhile through the second gateway
    Then the register ran the key 1 times
    And the resend received in_progress
    And a resend after the end gets the same answer

  Scenario: A key is used for another call
    Given two gateways in front of a register service
    When a keyed call is followed by another call with the same key
    Then the register ran the key 1 times
    And the resend received idempotency_key_reused

  Scenario Outline: Before any byte is sent, <fault>; the refusal is correct and the key stays free
    Given two gateways in front of a register service
    When a keyed call is made while <fault>
    Then the refusal says not run, with a retry time, and the register ran nothing
    And a resend through the second gateway <later> s later runs once

    Examples:
      | fault                                              | later |
      | no server can be connected to                      | 1     |
      | no slot is granted                                 | 1     |
      | the store is down                                  | 1     |
      | the store's writes take effect late                | 30    |
      | the store's writes take effect late, then it fails | 45    |
      | the store is down from after the claim             | 45    |

  Scenario: The store is unavailable during the run
    Given two gateways in front of a register service
    When the store is unavailable for 300 s during a keyed call
    Then the caller still got its answer
    And a resend while the store is unavailable is refused as not run
    And a resend after the end gets the same answer
    And the register ran the key 1 times

  Scenario: A gateway that stops gracefully writes its outcomes first
    Given two gateways in front of a register service
    When the store is unavailable for 20 s during a keyed call, and its gateway stops gracefully
    Then the gateway stopped after the store was available again
    And a resend after the end gets the same answer

  Scenario: The server breaks the connection during the run
    Given two gateways in front of a register service
    When the answer of a keyed call is lost
    And the keyed call is sent again through the second gateway 1 s later
    Then the register ran the key 1 times
    And the resend received outcome_unknown

  Scenario: A call without a key is never repeated once a byte may have been sent
    Given two gateways in front of a register service
    When the answer of a call without a key is lost
    Then its caller gets server_lost, and it ran 1 times

  Scenario: A call to a service declared idempotent is repeated on another server
    Given two gateways in front of a register service
    When the first server of an idempotent service loses its answer
    Then its caller gets the answer of the second server

  Scenario: An idempotent call that lost an answer is never reported as not run
    Given two gateways in front of a register service
    When the first server of an idempotent service loses its answer, and the second is down
    Then its caller gets server_lost, and it ran 1 times

  Scenario: A keyed call costs the store two writes and no read
    Given two gateways in front of a register service
    When 100 keyed calls are made
    Then the store received 200 writes and 0 reads

  Scenario: Over HTTP, a keyed call and its resend through another VM
    When a caller looks up "lookup?card=7" with a key over HTTP, through two VMs in turn
    Then both got the same answer, and the service ran "lookup?card=7" once

  Scenario: A call that may not be repeated never reuses a connection
    Given a plain service that closes every reused connection
    When 3 calls that may not be repeated are made over HTTP
    Then each got its answer, over a connection of its own

  Scenario: No schedule of faults makes a key run twice, or a call that ran be refused as not run
    When 200 seeded schedules of kills, lost answers, late writes, outages and resends are run
    Then no key ran twice, no call reported as not run had run, and no key had two answers
    And every key retained its answer, reached a final outcome, and was not blocked needlessly
