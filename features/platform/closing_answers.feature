Feature: Answers with neither a length nor chunks, which end with their connection

  # Guards against: an answer that broke off and reaches the caller as a complete success, or a complete one that is refused.
  Scenario Outline: A caller's request on <loop>
    When the first of two servers gives a request on the route <route> <answer>, on <loop>
    Then the call ends with <outcome>

    Examples:
      | loop    | route | answer                                                  | outcome                     |
      | asyncio | look  | a body that ends with its connection                    | the first server's answer   |
      | asyncio | pay   | a body that ends with its connection                    | the first server's answer   |
      | asyncio | look  | half a body that ends with a reset                      | the second server's answer  |
      | uvloop  | look  | half a body that ends with a reset                      | the second server's answer  |
      | asyncio | pay   | half a body that ends with a reset                      | status 502                  |
      | uvloop  | pay   | half a body that ends with a reset                      | status 502                  |
      | asyncio | ask   | all events, which end with their connection             | all events and the end      |
      | uvloop  | ask   | all events, which end with their connection             | all events and the end      |
      | asyncio | ask   | events that end inside one, with their connection       | half of the events, cut off |
      | uvloop  | ask   | events that end inside one, with their connection       | half of the events, cut off |
      | asyncio | ask   | events that end with a reset                            | half of the events, cut off |
      | uvloop  | ask   | events that end with a reset                            | half of the events, cut off |
      | asyncio | ask   | a head and no event, which end with their connection    | status 502                  |
      | asyncio | ask   | the end of one event's id, with its connection          | status 502                  |
      | asyncio | go-on | all events, which end with their connection             | all events and the end      |
      | asyncio | go-on | events that end inside one, with their connection       | all events and the end      |
      | uvloop  | go-on | events that end with a reset                            | all events and the end      |
      | asyncio | go-on | a head and no event, which end with their connection    | all events and the end      |

  # Guards against: a batch item that is listed as done though its stream broke off.
  Scenario Outline: A batch item
    When the first of two servers gives an item <answer>
    Then the item is done, with its whole text

    Examples:
      | answer                                               |
      | all events, which end with their connection          |
      | events that end inside one, with their connection    |
      | events that end with a reset                         |
      | a head and no event, which end with their connection |
