Feature: An operator sees how a request was routed and why

  Scenario: A request whose first server crashed is explained from its spans
    When an answer with the request id "r7" is traced while its server crashes
    Then `briarvale why r7` names both servers, the reason, the candidates and the waits
    And `briarvale why r8` fails with not_found

  Scenario: The reported slot wait is the length of the wait's span
    Given a trace file with a slot wait of 420 ms of request "r9"
    Then `briarvale why r9` says that it waited 420 ms for a slot

  Scenario: Each answer carries its request id
    When a caller asks the gateway over HTTP, once validly and once without a model
    Then both answers have an X-Request-Id, and the first one's is the completion's id
