Feature: Which content is quarantined, by the lost runs that all nodes report

  # Guards against: one part of a prompt that crashes server after server in requests of which no two are alike.
  Scenario Outline: A part that is in each of several lost runs, one after the other
    When <count> requests that share their first two parts crash one server each, one after the other
    Then requests with the <refused> parts are quarantined
    And requests that share the other parts alone are not

    Examples:
      | count | refused        |
      | 2     | no             |
      | 3     | common         |
      | 5     | common         |

  # Guards against: a refusal of harmless requests that share the parts before the deadly one.
  Scenario Outline: Requests with a deadly part among harmless ones
    When requests with a deadly part come among others of 20 kinds, deadly share <share>, notices 0 ms late, memory of earlier answers: yes, seed <seed>
    Then no deadly request reaches a server from 1 s after the fifth crash on
    And no harmless request is refused

    Examples:
      | share | seed |
      | 0.02  | 1    |
      | 0.05  | 2    |
      | 0.2   | 3    |
      | 0.5   | 4    |
      | 0.9   | 5    |
      | 0.05  | 6    |
      | 0.2   | 7    |
      | 0.5   | 8    |

  # Guards against: a refusal of all requests where all share their first part, or of those that a crash took along.
  Scenario Outline: Requests with a deadly part among harmless ones, at many nodes
    When requests with a deadly part come among others of <kinds> kinds, deadly share <share>, notices 300 ms late, memory of earlier answers: <memory>, seed <seed>
    Then no deadly request reaches a server from 1 s after the fifth crash on
    And no harmless request is refused from then on

    Examples:
      | kinds | share | memory | seed |
      | 20    | 0.05  | yes    | 11   |
      | 20    | 0.2   | yes    | 12   |
      | 20    | 0.5   | yes    | 13   |
      | 20    | 0.9   | yes    | 14   |
      | 1     | 0.05  | yes    | 15   |
      | 1     | 0.2   | yes    | 16   |
      | 1     | 0.5   | yes    | 17   |
      | 1     | 0.9   | yes    | 18   |
      | 20    | 0.05  | no     | 19   |
      | 20    | 0.2   | no     | 20   |
      | 20    | 0.5   | no     | 21   |
      | 20    | 0.9   | no     | 22   |
      | 1     | 0.05  | no     | 23   |
      | 1     | 0.2   | no     | 24   |
      | 1     | 0.5   | no     | 25   |
      | 1     | 0.9   | no     | 26   |

  # Guards against: a rack that loses power and takes the content of its runs with it into quarantine.
  Scenario: Many servers crash at the same moment
    When 12 servers crash at once, each with a run of a request with the same part
    Then nothing is quarantined

  Scenario: Content that answered after the crashes
    When a part is in 5 lost runs, one after the other, and then a request with it answers
    Then nothing is quarantined

  Scenario: Content that answered before, and crashes servers now
    When a part has answered and is then in 5 lost runs, one after the other
    Then nothing is quarantined
    And it is quarantined after the next lost run

  Scenario: A server that crashes on the body of a request
    When the same request is sent 3 times and crashes a server each time
    Then it is quarantined, and other requests with its parts are not

  Scenario: Nodes that learn of crashes in different orders
    When 40 seeded tables merge the same notices in random orders, some of them twice
    Then all of them quarantine the same content

  Scenario: Reports expire, and their number is bounded
    When 2,000 crashes are reported
    Then at most 512 reports are kept, and 10 minutes later none counts
