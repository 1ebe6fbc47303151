Feature: Retries do not multiply the load during an outage

  Scenario: All servers of a service refuse connections for two minutes
    When all engines are down for 120 s, at 10 requests a second
    Then attempts per request are at most 1.1
    And each request got its final answer within 1000 ms, with a retry time

  Scenario: All servers of a service fail every completion for two minutes
    When all engines fail completions for 120 s, at 10 requests a second
    Then attempts per request are at most 1.1
    And each request got its final answer within 1000 ms, with a retry time
