Feature: A second copy of an answer is never taken for the answer to another run

  # Guards against: a late second copy of a failed answer that counts as a further failed run, so that
  # an item is dead-lettered after fewer failures than its route allows.
  Scenario Outline: An item whose first two runs fail, and the second answer comes twice
    When a server answers two runs of an item with <status> and sends the second answer again, <copy>
    Then the item is done after 3 runs, with its complete text

    Examples:
      | status | copy                              |
      | 500    | whole, before the next answer     |
      | 500    | in one piece with the first       |
      | 500    | cut, before the next answer       |
      | 504    | whole, before the next answer     |

  # Guards against: a copy of a broken stream that is taken for the run that resumes it.
  Scenario: A resumed stream
    When a server breaks off two runs of a resumable stream within an event and sends the second again late
    Then the caller gets all events and the end of the stream

  # Guards against: an answer that reaches a caller a second time, for a request that has the same id.
  Scenario: A caller that uses an id again
    When the first of two answers to one id comes again before the second
    Then each request gets its own answer

  # Guards against: an answer without an id that reaches the next caller on the connection too.
  Scenario: An answer that states no id
    When the first of two answers states no id and comes again before the second
    Then each request gets its own answer

  # Guards against: the status of a copy that breaks off in its head, joined with the next answer's headers.
  Scenario Outline: A copy of a failure that breaks off within <part>, on the route <route>
    When a server sends its failure again, up to <part>, before it answers a request on the route <route>
    Then the second request ends with status <status>, and not with the failure of the first

    Examples:
      | route | part         | status |
      | look  | its reason   | 200    |
      | look  | a header     | 200    |
      | pay   | its reason   | 502    |
      | pay   | a header     | 502    |
      | look  | its body     | 200    |
      | pay   | its body     | 502    |

  # Guards against: a gateway whose connections to services and engines, which state no id, are used again.
  Scenario Outline: Calls of a gateway that runs without the platform
    When a plain service of a gateway sends each answer twice, <copy>
    Then each of 3 calls gets its own answer

    Examples:
      | copy                   |
      | in one piece           |
      | before the next answer |
