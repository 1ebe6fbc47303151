Feature: Callers are known by the API keys of their workspaces

  # Guards against a key that reaches a server, and a caller that names another workspace.
  Scenario: A server is told the workspace of the key and nothing else of the caller's identity
    When a caller with a key calls, and names another workspace in every way that headers allow
    Then the server got the name of the key's workspace once, and no key

  # Guards against requests without a valid key that run, and public routes that are closed.
  Scenario: Requests without a key that is in force are refused
    When callers with no key, an unknown key and half a key call a closed and a public route
    Then the closed route answers 401 to all of them and no server was reached
    And the public route serves all of them without the name of a workspace

  # Guards against a key that stays in use on connections that were open when it was withdrawn.
  Scenario: A key is withdrawn while its caller is connected
    When a caller keeps its connection while its key is replaced by another one
    Then the old key is refused on the same connection and the new one is served
    And a node that starts later refuses the old key as well

  # Guards against jobs that other workspaces can see or change, and against jobs lost with a key.
  Scenario: A job belongs to the workspace that submitted it
    When a job is submitted with a key that is then withdrawn
    Then another workspace can neither read it nor its items, nor end it, nor submit under its id
    And another key of the same workspace can read all its results
    And its items ran with the name of the workspace and without any key

  # Guards against keys in the caches that nodes send to each other.
  Scenario: Nodes pass on digests in place of keys
    When a node has the configuration with keys
    Then what it holds for its peers contains no key

  # Guards against one invalid entry that costs other workspaces their keys or limits.
  Scenario Outline: An invalid workspace harms no other
    When the second of two workspaces has <fault>
    Then the first workspace is as configured
    And of the second workspace <kept>

    Examples:
      | fault                           | kept                                |
      | a negative rate                 | the key applies and the old limits  |
      | a rate that is no number        | the key applies and the old limits  |
      | a huge burst                    | the key applies and the old limits  |
      | a priority that is no number    | the key applies and the old limits  |
      | keys that are no list           | no key applies and the new limits   |
      | a key that is no text           | the key applies and the new limits  |
      | the key of the first            | no shared key applies               |
      | no name                         | nothing applies                     |
      | the same name twice             | the old entry applies               |
