Feature: Rate limits of workspaces hold over all nodes

  # Guards against more requests in a window than the limit and its tolerance allow, whatever fails.
  Scenario: No window passes the limit under random faults
    When 200 seeded schedules of crashes, pauses, partitions, joins and new limits are simulated
    Then in each window at most the limit and its tolerance ran

  # Guards against two owners that spend the same shares, as a partition or a pause makes them.
  Scenario Outline: Two owners spend no share twice
    When buckets are full and <fault>, and all nodes then send far more than the limit
    Then in each window at most the limit and its tolerance ran

    Examples:
      | fault                                                     |
      | a partition parts the nodes for longer than buckets fill  |
      | the owner is suspended with its clock and comes back      |
      | the owner is suspended and comes back                     |

  # Guards against tokens of shares that other owners may have spent meanwhile.
  Scenario Outline: An owner whose shares were elsewhere starts with no tokens
    When an owner with a full bucket <fault> and has all shares again
    Then it grants nothing at once

    Examples:
      | fault                               |
      | loses all shares                    |
      | stood still together with its clock |

  # Guards against refusals below the limit, and against small workspaces that starve on many nodes.
  Scenario Outline: Below the limit almost nothing is refused
    When a <size> workspace sends its usual load over 60 nodes <time>
    Then at most <refused> in 100 of its requests are refused that fit into its limit
    And no request waited for longer than 150 ms

    Examples:
      | size  | time                       | refused |
      | large | in calm                    | 0       |
      | small | in calm                    | 0       |
      | large | while its owner is lost    | 9       |
      | small | while its owner is lost    | 1       |

  # Guards against a limit that nodes apply each on their own, and against refused requests that run.
  Scenario: Requests over the limit are refused at all nodes together
    When a workspace sends three times its limit to three nodes
    Then no more than its limit reached the server, and the others got 429 with a time to retry
    And a request at that time was served

  # Guards against requests that hang or are refused below the limit while the owner is replaced.
  Scenario: Below the limit requests are served while the owner is killed
    When a workspace sends a part of its limit to three nodes and the owner of its limit is killed
    Then at the nodes that are left all its requests were served
