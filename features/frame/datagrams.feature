Feature: Concurrent datagram sends of one dispatcher don't interfere

  Scenario: Many tasks send at the same time over UDP
    When 50 tasks send a datagram each at the same time over UDP
    Then all 50 datagrams arrive
