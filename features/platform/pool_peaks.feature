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

  # Guards against items that start shortly before a peak takes their slots, and against a forecast
  # that holds items back until they are late.
  Scenario: Short items under periodic peaks
    When 70 items of 2 s arrive a second under periodic peaks, with and without the forecast
    Then fewer than 8 in 10 as many slots are revoked with the forecast
    And all items that are due are completed in time with the forecast

  # Guards against a forecast that takes random, steady or single changes for a period.
  Scenario Outline: Which demand has a clear period
    When the demand of 24 s is <demand>
    Then the detected period is <period> ms

    Examples:
      | demand           | period |
      | periodic         | 5800   |
      | steady           | 0      |
      | rising           | 0      |
      | one peak         | 0      |
      | random           | 0      |

  # Guards against items that are held back although they fit, or started although they do not.
  Scenario Outline: Whether an item starts before a peak that leaves 20 of 100 slots
    When an item of <remaining> ms would start 1000 ms before the peak beside <batch> items, <required> required
    Then that item <outcome>

    Examples:
      | remaining | batch | required | outcome |
      | 700       | 60    | 0        | starts  |
      | 3000      | 60    | 0        | waits   |
      | 3000      | 19    | 0        | starts  |
      | 3000      | 20    | 0        | waits   |
      | 3000      | 60    | 1        | starts  |

  # Guards against items that wait for a trough until they are late.
  Scenario: More items wait than the slots left by peaks can carry
    When 30 items of 1000 ms with 5000 ms until their latest start wait for 10 usable slots
    Then 10 of them have to start now
