Feature: The product's own clients limit how much of an answer they read

  # Guards against: a plain service or an engine that sends without end and fills the caller's memory.
  Scenario Outline: A client aborts the call to a server that sends without end
    When a server sends <what> without end
    Then the call fails as an answer that is too long, after a bounded number of bytes

    Examples:
      | what                                |
      | the answer of a plain service       |
      | an event of an engine's completion  |
      | an engine's load                    |
