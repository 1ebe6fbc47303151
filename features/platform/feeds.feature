Feature: One node of a zone watches the store for the others

  That node is the publisher: it forwards the changes to the other nodes of its zone.

  Scenario: Changes reach all nodes through one watch of the store
    When 5 nodes of a zone run for a while and the configuration changes 5 times
    Then each change is in force everywhere within 1 s
    And the watches of 4 nodes make no call to the store

  Scenario: A connection to the publisher stays open before its first change
    When 4 nodes are subscribed to a publisher, and none of their own watches has ended
    Then all of them still have their first connection to it 2.5 s later

  Scenario: A change too large to forward is read from the store by each node
    When a configuration with 2,000 more routes is written while 4 nodes are subscribed to a publisher
    Then all nodes have it in force within 3 s, and the publisher forwarded no change that large

  Scenario: All nodes know a job's results, and read the texts only for a reader
    When a job is done while 4 nodes are subscribed to a publisher
    Then the nodes that did not run it know its results without texts
    And a reader at each of them gets the texts

  Scenario: Nodes that start again learn of all jobs without asking the store for each
    When a job is done and 3 of 4 nodes are killed and start again
    Then none of these lists the jobs or drains from the store, and all know the results within 4 s
    And a reader at each of them gets the texts

  Scenario: All nodes start again and one of them lists the jobs
    When a job is done and all of 4 nodes are killed and start again
    Then one of these lists the jobs and drains from the store, and all know the results within 4 s
    And a reader at each of them gets the texts

  Scenario: The list of jobs that every node reads holds only ids
    When a job of items with bodies is done, and its entries are listed as each node lists them
    Then the list names all items and holds neither a body nor a text, which are in other objects

  Scenario: A reader asks for texts while the store is unavailable
    When a node knows results without texts and the store refuses it
    Then a reader there is told to retry, rather than that there is no result

  # Guards against results that callers count as lost: the answer "no result yet" for a result that
  # another node returned over a second before.
  Scenario Outline: A result that one node has served is not denied by nodes whose list is stale
    When the publisher is <trouble>, and then another node lists a result
    Then no reader at the other nodes is told 1 s later that there is none

    Examples:
      | trouble                    |
      | refused by the store       |
      | unanswered by the store    |
      | silent to its subscribers  |

  Scenario: A reader asks for a result at a node that the store refuses
    When the store refuses a node and a job that it knows has no result yet
    Then a reader there is told to retry, rather than that there is no result

  Scenario: The publisher hangs and the membership still lists it
    When a node loses the publisher, which the membership still lists
    Then the node lists the jobs from the store at once
    And its list of jobs counts as stale until the store has answered

  Scenario: Changes that arrive while nodes still apply earlier ones
    When 40 entries of VMs are written within 4 s
    Then all nodes know all of them 2 s later

  Scenario: A change that arrives while a new subscription is made
    When changes arrive between two watches, and one more before the second watch is answered
    Then the second watch and those after it bring each change, in order

  Scenario: Watches miss a change and are then cut
    When the store's watches send nothing, the configuration changes and all watches are cut
    Then 4 nodes that share one watch have the change in force within 1 s of the cut

  Scenario: A larger node becomes the publisher, and one node learns of it late
    When a larger node joins, and one of 4 nodes stays subscribed to the previous publisher
    Then all of them have a change in force within 1 s

  Scenario Outline: The publisher is lost
    When the publisher is <trouble> and the configuration changes
    Then the others have the change in force within 3 s

    Examples:
      | trouble                    |
      | killed                     |
      | stopped gracefully         |
      | refused by the store       |
      | unanswered by the store    |
      | silent to its subscribers  |

  # Guards against a server that had left, in use again at a node that started while the store was away.
  Scenario: A node that starts while the store is away takes the newest list of its peers
    When a node without any list asks peers of which all but one missed that a server left
    Then it never uses the server that left
