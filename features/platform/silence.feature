Feature: The timeout on a silent server never drops an answer that has arrived

  # Guards against lost answers: an answer that arrived as the timeout ended was dropped, and its
  # caller kept waiting.
  Scenario: The head of an answer arrives just as the timeout ends
    When the head of a lookup's answer reaches a busy node just as the timeout ends
    Then the caller gets the complete answer, and the request does not run again

  # Guards against lost answers: an answer was cut off, but its connection stayed open.
  Scenario: The write of a whole answer is cancelled
    When the handler of a request fails while its complete answer is being written
    Then the connection ends within a second

  Scenario: A server that sends no head
    When a server sends nothing until the timeout ends, and another run is allowed
    Then the run ends as stalled
