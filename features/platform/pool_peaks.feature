Feature: Batch items of a pool under periodic online load

  # Guards against items that are revoked for online requests that get a released slot in time anyway.
  Scenario: Online peaks in a large pool of which items fill the troughs
    When online load steps between 78 and 385 requests a second at 45 servers over 24 items a second
    Then fewer than 0.7 slots are revoked per completed item
    And 99 in 100 online requests get their slots in less than half of the time that they have
    And all completed items are completed within 18 s

  # Guards against online requests that count on releases that do not come.
  Scenario Outline: Slots that are revoked for waiting requests
    When <requests> online requests with <slack> ms left wait and <released> slots were released in 200 ms
    Then <revoked> slots are revoked

    Examples:
      | requests | slack | released | revoked |
      | 10       | 200   | 0        | 10      |
      | 10       | 200   | 2        | 10      |
      | 10       | 200   | 80       | 0       |
      | 60       | 200   | 80       | 33      |
      | 10       | 30    | 80       | 10      |
      | 10       | -100  | 80       | 10      |

  # Guards against requests that wait for a forecast that failed: the servers stopped releasing slots.
  Scenario: Releases stop while an online request waits for one
    When the releases on which a waiting online request counts do not come
    Then a slot is revoked for it before it would be late
