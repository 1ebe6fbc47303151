Feature: Every accepted item completes exactly once, through any failure

  Scenario Outline: Two overlapping failures of one kind
    When batch jobs run while the fault "<fault>" occurs twice
    Then the checker finds nothing lost, doubled, run after its seal or falsely refused

    Examples:
      | fault        |
      | kill         |
      | restart      |
      | freeze       |
      | cut          |
      | outage       |
      | lost answer  |
      | late write   |
      | engine crash |

  Scenario Outline: The checker detects a runner or a gateway that breaks a rule
    Given a runner or gateway that "<variant>"
    When batch jobs run through failures that need the rule
    Then the checker says "<verdict>"

    Examples:
      | variant                           | verdict        |
      | creates without a condition       | doubled        |
      | retries with other bytes          | doubled        |
      | appends after a seal              | run after seal |
      | continues after a cancel          | run after seal |
      | refuses without a void record     | false refusals |

  Scenario: Two runners of one shard duplicate little work
    Given two batch programs that both regard each shard as their own
    When a job of 600 items runs on both
    Then few items run twice and none has two results
