Feature: A run that sends endless bytes is ended before it exhausts memory or the caller's time

  # Guards against: a run that continues until the route's timeout, or fills memory, while a server
  # sends bytes without end in place of an answer.
  Scenario Outline: An idempotent request runs again at another server
    When one of two servers answers an idempotent request with <bytes> without end
    Then the caller gets the other server's answer within 2 s
    And the faulty run was ended after a bounded number of bytes

    Examples:
      | bytes                                     |
      | a line of a head                          |
      | lines of a head                           |
      | informational answers                     |
      | the body of an answer to another request  |
      | the size line of a chunk                  |
      | a trickle of lines of a head              |

  Scenario: Endless bytes after a complete answer
    When one of two servers answers an idempotent request with bytes after a complete answer without end
    Then the caller gets the complete answer and the faulty run was ended

  Scenario Outline: A non-idempotent request is answered as lost
    When one of two servers answers a non-idempotent request with <bytes> without end
    Then the caller gets 502 within 2 s
    And the faulty run was ended after a bounded number of bytes

    Examples:
      | bytes                                     |
      | informational answers                     |
      | the body of an answer to another request  |

  # Guards against: a splitter that buffers an event without end, and a pause timeout that any byte resets.
  Scenario Outline: A resumable stream continues at another server
    When one of two servers answers a resumable stream with <bytes> without end
    Then the caller gets every event once and the end of the stream within 3 s
    And the faulty run was ended after a bounded number of bytes

    Examples:
      | bytes                   |
      | one event               |
      | a trickle of one event  |
      | the same event          |

  Scenario: A stream that may not be resumed
    When one of two servers answers a stream with one event without end
    Then the caller gets 502 within 2 s
    And the faulty run was ended after a bounded number of bytes

  # Guards against: items held forever by a server that never ends its answer and never pauses.
  Scenario Outline: A batch item runs again at another server
    When one of two servers answers an item with <bytes> without end
    Then the item is done by the other server within 8 s, with its complete text
    And the faulty run was ended after a bounded number of bytes

    Examples:
      | bytes                   |
      | informational answers   |
      | one event               |
      | a trickle of one event  |
      | the same event          |
      | ever more events        |
      | the body of a failure   |

  # Guards against: calls that collect a body of any size in memory.
  Scenario: An endless load report
    When a server answers a request for its load with a body without end
    Then the load request fails as an answer that is too long, after a bounded number of bytes

  # Guards against: limits that cut off valid answers because they are long.
  Scenario: Long valid answers are forwarded completely
    When a caller that reads slowly asks for a stream of 40 events of 200 kB and a body of 8 MB
    Then it gets both completely

  # Guards against: a node that stands still while it splits what a server sends into events.
  Scenario Outline: Many small events, or one large event in small parts
    When 256 KiB of <pattern> are split into events
    Then the same events come out as when they are split one byte after the other
    And it takes less than 2 s

    Examples:
      | pattern                        |
      | line ends                      |
      | line ends with carriage return |
      | events without data            |
      | one event in parts of 16 bytes |
      | ends that are cut apart        |

  # Guards against: a node that serves nobody else while it reads many small chunks that have arrived.
  Scenario Outline: Many small chunks in one go
    When 10,000 chunks of one byte from <who> arrive in one go while another task is ready to run
    Then the other task runs at least 50 times before the last chunk is read

    Examples:
      | who      |
      | a server |
      | a caller |
