Feature: Callers' requests are validated at the HTTP boundary

  Scenario Outline: An invalid request is refused before anything runs, and the refusal says so
    Given the HTTP interface of a gateway
    When a caller sends <request>
    Then the refusal has status <status> and code <code> and mentions "<text>"
    And no backend server ran anything

    Examples:
      | request                     | status | code            | text              |
      | a wrong API key             | 401    | invalid_key     | no member         |
      | no API key and a huge body  | 401    | invalid_key     | no member         |
      | a body over the limit       | 413    | body_too_large  | 2000 bytes        |
      | malformed JSON              | 400    | invalid_request | line 1 column 11  |
      | JSON that isn't an object   | 400    | invalid_request | expected an object|
      | bytes that are not UTF-8    | 400    | invalid_request | not UTF-8         |
      | no prompt                   | 400    | invalid_request | prompt            |
      | an unknown service          | 404    | not_found       | no model service  |
      | a plain call to a model     | 404    | not_found       | no plain service  |
      | a bad deadline              | 400    | invalid_request | X-Deadline-Ms     |
      | zero tokens                 | 400    | invalid_request | max_tokens        |
      | metrics without the secret  | 401    | invalid_key     | operators only    |

  Scenario: Chat and completion answers have the OpenAI format, streamed and unstreamed
    Given the HTTP interface of a gateway
    When a caller requests the same completion unstreamed, streamed and as a chat
    Then every format carries the complete answer

  Scenario: Metrics are served to callers with the shared secret
    Given the HTTP interface of a gateway
    When an operator reads the metrics
    Then they count the requests by member and code
