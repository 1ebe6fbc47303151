Feature: No part of an answer passes for a complete one

  # Guards against: an answer without a length that a server sends, and breaks off, before it has read the request.
  Scenario Outline: A server answers during an upload and then ends the connection, on <loop>
    When a server answers an upload of <upload> bytes at once with <answer> bytes, and ends it with a <end>, on <loop>
    Then the exchange fails as lost

    Examples:
      | loop    | upload    | answer    | end   |
      | asyncio | 1,000,000 | 100       | reset |
      | uvloop  | 1,000,000 | 100       | reset |
      | asyncio | 4,000,000 | 100       | reset |
      | uvloop  | 4,000,000 | 100       | reset |
      | asyncio | 4,000,000 | 2,500,000 | reset |
      | uvloop  | 4,000,000 | 2,500,000 | reset |
      | asyncio | 4,000,000 | 100       | close |
      | uvloop  | 4,000,000 | 100       | close |
      | asyncio | 4,000,000 | 100       | shutdown of its sending side |
      | uvloop  | 4,000,000 | 100       | shutdown of its sending side |

  # Guards against: a status that no answer has, or half a body, that reaches a caller, an item or a call to the store.
  Scenario Outline: A server sends <answer>
    When a server answers with <answer>
    Then the exchange fails as lost

    Examples:
      | answer                  |
      | status 000              |
      | status 099              |
      | status abc              |
      | status 1000             |
      | half a body by length   |
      | half a body by chunks   |
      | half of the last chunk  |

  # Guards against: the same at the caller, for a lookup, a call that may not be repeated, and a stream.
  Scenario Outline: A caller's upload of 4,000,000 bytes to the route <route> is answered at once, with a <end>
    When the only server answers an upload on the route <route> at once and ends it with a <end>
    Then the caller gets no complete success

    Examples:
      | route | end   |
      | look  | reset |
      | pay   | reset |
      | ask   | reset |
      | go-on | reset |
      | pay   | close |
      | ask   | close |
      | pay   | shutdown of its sending side |
      | ask   | shutdown of its sending side |
