Feature: A route's limit on the tokens of accepted items that wait

  # Guards against more waiting tokens than the limit when several nodes accept at the same time.
  Scenario: Jobs that are submitted to all nodes at once stay within the limit
    When 12 jobs of 450 tokens are submitted to 4 nodes at once on a route that allows 1500
    Then 3 are accepted, and the others get 429, with when to come back, and never run

  # Guards against a refusal of a job that another node has accepted.
  Scenario: An accepted job that is sent again to a full route is accepted again
    When a job fills a route, and is sent again at once to each other node
    Then each of them accepts it, and each of its items runs once

  # Guards against tokens that stay counted after their items are done or their job has ended.
  Scenario Outline: Tokens are free again at every node within a second
    When a job fills a route and then <event>
    Then a job as large is accepted at another node within 1 s

    Examples:
      | event       |
      | is done     |
      | is ended    |

  Scenario: A limit lowered below what waits refuses new jobs, and a removed limit refuses none
    When a route's limit is lowered below what waits and then removed
    Then a small job is refused until the limit is removed

  # Guards against reservations of jobs that were never accepted, which would fill the route for good.
  Scenario: The tokens of a job whose node was killed before it was accepted are free again
    When a node is killed between the reservation of a job's tokens and its acceptance
    Then a job as large is accepted within 35 s

  # Guards against a job accepted after other nodes have dropped its reservation as abandoned.
  Scenario Outline: A job is not accepted on a reservation that another node may drop
    When a job is <event> while another node sees its reservation for 30 s
    Then no more tokens than the limit wait

    Examples:
      | event                      |
      | sent again                 |
      | accepted with a long delay |

  # Guards against calls to the store for each attempt to submit a job to a route that is known to be full.
  Scenario: A refusal by a node that knows the jobs that fill the route costs one read
    When a job is refused at a node that knows the job that fills the route
    Then the store was asked only whether the refused job was accepted before

  # Guards against a workspace that fills the route for the others, or exceeds the limit itself.
  Scenario: The limit applies to each workspace on the route
    When jobs with and without a workspace are submitted to all nodes on a limited route
    Then each of them gets as many accepted as the limit allows

  # Guards against waiting tokens beyond the limit, in any order of acceptance, results, ends and faults.
  Scenario: Nodes accept, finish and end jobs in random order, with faults of the store
    When 60 seeded schedules of jobs on a limited route are run in virtual time
    Then no more tokens than the limit ever wait, and refused jobs are never stored
    And a job as large as the limit is accepted once all others have ended
