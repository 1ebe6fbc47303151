Feature: A caller receives the whole answer to its own request

  Scenario: A backend server is lost in the middle of its answers
    When 12 answers stream and the busiest engine crashes
    Then each caller has every token once and in order
    And the lost answers were begun a second time

  Scenario: Tokens arrive twice and out of order
    When an engine delivers its tokens reversed and twice
    Then each caller has every token once and in order

  Scenario: A backend server is stuck in the middle of its answers
    When 12 answers stream and the busiest engine is stuck
    Then each caller has every token once and in order
    And each answer ended before its deadline

  Scenario: A caller goes away
    When a caller closes its answer after 3 tokens
    Then the engine runs nothing and no slot is held 100 ms later

  Scenario: A caller does not read
    When a caller of 3000 tokens does not read and another asks for the only slot
    Then the other answer is whole before its deadline
    And at most 512 tokens wait for the slow caller
    And the slow caller has its whole answer once it reads

  Scenario: The deadline passes while every engine is stuck
    When every engine is stuck and a caller's deadline is 4000 ms away
    Then the final answer comes at the deadline, says when to come back and not that nothing ran

  Scenario: A refusal that says that nothing ran is true
    When engines fail at random under 40 seeds of 25 requests each
    Then every refusal with not_run has no run in the engines' records
    And some refusals said not_run and some did not

  Scenario Outline: A caller disconnects from the HTTP interface
    When a caller of <form> over HTTP disconnects after 1 s
    Then the engine runs nothing and no slot is held 100 ms later

    Examples:
      | form                    |
      | a whole answer          |
      | a stream                |
      | a stream it never reads |
