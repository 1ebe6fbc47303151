Feature: No head-of-line blocking between members or classes

  Scenario Outline: Load doesn't delay the online request of another member
    Given an engine of 16 slots at harm weight <weight>
    When <load>
    Then an online request of trust gets its first token at most 1 RTT and one engine step later than without the load

    Examples:
      | weight | load                                            |
      | 0      | 2000 batch items of cyweirio wait               |
      | 1      | 2000 batch items of cyweirio wait               |
      | 0      | a batch item has a prompt of 60000 tokens       |
      | 1      | a batch item has a prompt of 60000 tokens       |
      | 0      | 60 callers of cyweirio do not read their answer |
      | 1      | another engine is stuck with 60 requests        |
