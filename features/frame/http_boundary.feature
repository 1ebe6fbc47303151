Feature: Callers' requests are checked at the boundary

  Scenario Outline: A bad request is refused before anything runs, and the refusal says so
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
      | JSON that is no object      | 400    | invalid_request | expected an object|
      | bytes that are not UTF-8    | 400    | invalid_request | not UTF-8         |
      | no prompt                   | 400    | invalid_request | prompt            |
      | an unknown service          | 404    | not_found       | no model service  |
      | a plain call to a model     | 404    | not_found       | no plain service  |
      | a bad deadline              | 400    | invalid_request | X-Deadline-Ms     |
      | zero tokens                 | 400    | invalid_request | max_tokens        |
      | metrics without the secret  | 401    | invalid_key     | operators only    |

  Scenario: Chat and completion answers have the OpenAI form, streamed and whole
    Given the HTTP interface of a gateway
    When a caller asks for the same completion whole, streamed and as a chat
    Then every form carries the whole answer

  Scenario: Metrics are served to those who know the shared secret
    Given the HTTP interface of a gateway
    When an operator reads the metrics
    Then they name the requests by member and code
