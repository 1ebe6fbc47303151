Feature: The owner's slot queue: online before batch, members by share

  Scenario: A burst of online requests gets its slots from batch at once
    Given a slot queue of 8 slots with harm weight 0
    And batch requests of trust hold every slot
    When 3 online requests of cyweirio ask for slots
    Then 3 batch slots are revoked and no slot twice
    When the revoked slots are released
    Then cyweirio holds 3 online slots and trust 5 batch slots

  Scenario: Batch leaves free slots for online when the rules protect online's tail latency
    Given a slot queue of 16 slots with harm weight 1
    When 2 online requests of cyweirio ask for slots
    And 16 batch requests of trust ask for slots over 60 s
    Then trust holds at most 12 batch slots
    And trust holds at least 10 batch slots
    When 2 online requests of cyweirio ask for slots
    And the revoked slots are released
    Then trust holds at most 8 batch slots

  Scenario: No batch stream starts while an online prompt is prefilled
    Given a slot queue of 16 slots with harm weight 1
    When 1 online requests of cyweirio ask for slots
    And 2 batch requests of trust ask for slots
    Then trust holds at most 0 batch slots

  Scenario: Backlogged members get tokens in proportion to their shares
    Given a slot queue of 4 slots with harm weight 0
    When both members keep 20 online requests of different cost waiting while 400 are served
    Then cyweirio got between 0.55 and 0.65 of the served tokens

  Scenario: The priority member's online requests come first
    Given a slot queue of 4 slots with harm weight 0 and priority member trust
    And online requests of cyweirio hold every slot that they may
    When 3 online requests of cyweirio ask for slots
    And 2 costly online requests of trust arrive
    And the oldest online slot is released
    Then the latest grant is trust's

  Scenario: One member's long streams leave a reserve for another's burst
    Given a slot queue of 20 slots with harm weight 0
    When 40 online requests of cyweirio ask for slots
    Then cyweirio borrows online slots and the usage shows it
    When 2 online requests of trust ask for slots
    Then trust holds 2 online slots and cyweirio less than 20

  Scenario: Batch slots borrowed from a member's share are returned when its own batch arrives
    Given a slot queue of 10 slots with harm weight 0
    And batch requests of trust hold every slot
    When 10 batch requests of cyweirio ask for slots
    And the revoked slots are released
    Then cyweirio holds 6 batch slots and trust 4

  Scenario: The batch with the least slack is served first
    Given a slot queue of 2 slots with harm weight 0
    And batch requests of trust hold every slot
    When batch requests of trust due 9000, 3000 and 6000 ms from now ask for slots
    And every slot is released
    Then the batch requests due after 3000 and 6000 ms hold the slots

  Scenario: Batch keeps to its budget beside online, and borrows what online leaves idle
    Given a slot queue of 10 slots with harm weight 0 and a batch budget of 30 %
    When 3 online requests of cyweirio ask for slots
    And 10 batch requests of trust ask for slots
    Then trust holds at most 4 batch slots
    When 3 online slots are released at once
    And 30 s pass
    Then trust holds at least 10 batch slots
    When 4 online requests of cyweirio ask for slots
    And the revoked slots are released
    Then trust holds at most 3 batch slots

  Scenario: A full queue refuses at once with a retry time
    Given a slot queue of 2 slots with harm weight 0
    When 400 online requests of cyweirio ask for slots
    Then at most 256 requests wait and all others are granted or refused with a later retry_at_ms
    When 1 online requests of trust ask for slots
    Then the latest request waits or is granted

  Scenario: A request that would wait past its deadline is refused at once
    Given a slot queue of 2 slots with harm weight 0
    And online slots were held for 4000 ms each
    When cyweirio sends 10 online requests that may wait 5000 ms
    Then some requests are refused at once, with a retry_at_ms after their deadline

  Scenario: Long times between tokens lower the limit, short ones raise it again
    Given a slot queue of 16 slots with harm weight 0
    When streams end with 90 ms between tokens for 20 s
    Then the slot limit is below 12
    When streams end with 30 ms between tokens for 60 s
    Then the slot limit is 16

  Scenario: A changed configuration applies to a running queue
    Given a slot queue of 4 slots with harm weight 0
    When the configuration declares 8 slots and a share of 90 % for trust
    And 8 online requests of trust ask for slots
    Then the slot limit is 8
    And the share of trust is 7.2 slots

  Scenario: A new owner waits for reports before it grants slots
    Given a slot queue of 4 slots with harm weight 0
    And online requests of cyweirio hold every slot that they may
    When a new owner takes over and 4 online requests of trust arrive before the report
    Then at most 4 slots are held and the reported ones are among them

  Scenario: A holder that reconnects frees the slots that it no longer reports
    Given a slot queue of 4 slots with harm weight 0
    And batch requests of trust hold every slot
    When the holder connects again and reports 1 slot
    Then 1 slots are counted as held at once

  Scenario: A report that arrives before the next owner knows that it owns the queue is applied
    Given a slot queue of 4 slots with harm weight 0
    And batch requests of trust hold every slot
    When the report reaches a dispatcher just before it becomes the owner
    Then 4 slots are counted as held at once

  Scenario: A burst's prompts wait at the owner, so that another member's prompt goes before them
    Given a slot queue of 32 slots with harm weight 0
    When 6 online prompts of 800 tokens from cyweirio arrive
    And 1 online prompts of 800 tokens from trust arrive
    And 2 s pass
    Then the second grant is trust's and all 7 are granted

  Scenario Outline: Batch starts are paced by how long their prompts are prefilled
    Given a slot queue of 16 slots with harm weight 1
    When 16 batch prompts of <tokens> tokens from trust arrive
    And 2 s pass
    Then trust holds at least <low> batch slots
    And trust holds at most <high> batch slots

    Examples:
      | tokens | low | high |
      | 80     | 14  | 16   |
      | 800    | 4   | 6    |
