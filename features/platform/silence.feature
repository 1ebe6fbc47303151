Feature: An answer that has arrived is never given up for its server's silence

  # Guards against LOST: an answer that came as its time ran out was cut, with its caller left waiting.
  Scenario: The head of an answer arrives at the moment at which its server counts as silent
    When a busy node finds the head of a lookup's answer and the end of its patience at once
    Then the caller gets the whole answer, and nothing runs again

  # Guards against LOST: a connection that stays open although its answer was broken off.
  Scenario: The write of a whole answer is cut
    When the handler of a request fails while its whole answer is being written
    Then the connection ends within a second

  Scenario: A server that sends no head
    When a server sends nothing for longer than the node is patient, and another run is allowed
    Then the run is given up as stalled
