Feature: A caller receives the whole answer to its own request

  Scenario: A backend server crashes while it streams answers
    When 12 answers stream and the busiest engine crashes
    Then each caller has every token once and in order
    And the lost answers were retried

  Scenario: Tokens arrive duplicated and out of order
    When an engine delivers its tokens duplicated and in reverse order
    Then each caller has every token once and in order

  Scenario: A backend server gets stuck while it streams answers
    When 12 answers stream and the busiest engine is stuck
    Then each caller has every token once and in order
    And each answer ended before its deadline

  Scenario: A caller closes its stream
    When a caller closes its stream after 3 tokens
    Then the engine runs nothing and no slot is held 100 ms later

  Scenario: A caller does not read
    When a caller of 3000 tokens reads nothing and another caller requests the only slot
    Then the other answer is complete before its deadline
    And at most 512 tokens are buffered for the slow caller
    And the slow caller gets its complete answer once it reads

  Scenario: The deadline passes while every engine is stuck
    When every engine is stuck and a caller's deadline is 4000 ms away
    Then the call fails at the deadline, with a retry time and without not_run

  Scenario: A refusal with not_run means that no engine ran the request
    When engines fail at random under 40 seeds of 25 requests each
    Then every refusal with not_run has no run in the engines' records
    And some refusals said not_run and some did not

  Scenario Outline: A caller disconnects from the HTTP interface
    When a caller that requests <form> over HTTP disconnects after 1 s
    Then the engine runs nothing and no slot is held 100 ms later

    Examples:
      | form                    |
      | a complete answer       |
      | a stream                |
      | a stream it never reads |
