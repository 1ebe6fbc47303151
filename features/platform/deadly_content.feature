Feature: Content that crashes backend servers is refused at all nodes

  # Guards against: requests that share one part of their prompts, and nothing else, crash one server after the other.
  Scenario Outline: A part of a prompt crashes each server that begins to answer
    When requests with a deadly part come at 3 nodes among harmless ones that share their other parts, seed <seed>
    Then at most 3 of them reach servers from 1 s after the fifth crash on
    And the others are refused at once as quarantined
    And harmless requests are answered as before

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against: many nodes that each spend the whole limit, as their reports spread too late.
  Scenario Outline: Many nodes at which deadly requests arrive at once
    When <rate> deadly requests a second, each with <beside> lost runs beside, arrive at <nodes> nodes, seed <seed>
    Then at most 3 of them run from 3 s after the fifth crash on

    Examples:
      | nodes | rate | beside | seed |
      | 9     | 5    | 1      | 1    |
      | 76    | 12   | 2      | 2    |
      | 165   | 10   | 1      | 3    |
      | 165   | 50   | 2      | 4    |

  # Guards against: one item of a batch job that crashes a server each second until its retention ends.
  Scenario Outline: Items of a batch job hold a deadly part
    When a job has 4 items with a deadly part and 6 harmless ones that share their first part, seed <seed>
    Then its harmless items are done within 10 s
    And later than 1 s after the fifth crash, at most 3 of the others run, on trial, at least 4 s apart
    And one of them runs at least every 20 s
    And a caller's request with the deadly part is refused as quarantined

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against: nodes that all restart and let the content crash several servers again.
  Scenario: All nodes are killed at once after a part was quarantined
    When a part is quarantined, all 3 nodes are killed and start again, and 12 requests with it come
    Then none of them reaches a server
    And harmless requests are answered as before

  # Guards against: a record of another build that keeps a node from starting, and records without end.
  Scenario: A record that can't be read, and one whose reports have expired
    When a node starts while the store holds both
    Then it serves requests, and the expired record is gone
