Feature: One node of a zone watches the store for the others

  Scenario: Changes reach all nodes at the price of one watch
    When 5 nodes of a zone run for a while and the configuration changes 5 times
    Then each change is in force everywhere within 1 s
    And the watches of 4 nodes ask the store nothing

  Scenario: A connection on which there is nothing to hear yet
    When 4 nodes follow one that watches, and none of their own watches has ended
    Then all of them hold their first connection to it 2.5 s later

  Scenario: A change too large to be passed on to all
    When a configuration of 2,000 more routes comes while 4 nodes follow one that watches
    Then all nodes have it in force within 3 s, and the one that watches passed on no such change

  Scenario: A job is known everywhere and its texts only where they are read
    When a job is done while 4 nodes follow one that watches
    Then the nodes that did not run it know its results without texts
    And a reader at each of them gets the texts

  Scenario: Nodes that start again learn of all jobs without asking the store for each
    When a job is done and 3 of 4 nodes are killed and start again
    Then none of these lists the jobs from the store, and all know the results within 4 s
    And a reader at each of them gets the texts

  Scenario: All nodes start again and one of them lists the jobs
    When a job is done and all of 4 nodes are killed and start again
    Then one of these lists the jobs from the store, and all know the results within 4 s
    And a reader at each of them gets the texts

  Scenario: What every node lists of jobs are ids alone
    When a job of items with bodies is done, and its entries are listed as each node lists them
    Then what is listed names all items and holds neither a body nor a text, which stand elsewhere

  Scenario: Texts that the store can't tell now
    When a node knows results without texts and the store turns it away
    Then a reader there is told to come back, rather than that there is none

  # Guards against LOST: "no result yet" for a position that was read elsewhere over a second before.
  Scenario Outline: A result that was read elsewhere is there for readers of a list that stands still
    When the node that watches is <trouble>, and then another node lists a result
    Then no reader of the others is told 1 s later that there is none

    Examples:
      | trouble                    |
      | turned away by the store   |
      | cut off from it in silence |
      | hung with its watch        |

  Scenario: A reader asks a node that the store turns away for what it can't know
    When the store turns a node away and a job that it knows has no result yet
    Then a reader there is told to come back, rather than that there is none

  Scenario: The node that watches hangs and the others can't know yet
    When a node loses the one that watches, which the membership still names
    Then it lists the jobs from the store at once
    And its view of them does not count as current until it has listed them

  Scenario: Changes that come while nodes still take earlier ones
    When 40 entries of VMs are written within 4 s
    Then all nodes know all of them 2 s later

  Scenario: A change that crosses a new subscription
    When changes arrive between two watches, and one more before the second watch is answered
    Then the second watch and those after it bring each change, in order

  Scenario: Watches hear nothing of a change, then they are cut
    When the store's watches fall silent, the configuration changes and all watches are cut
    Then 4 nodes that share one watch have the change in force within 1 s of the cut

  Scenario: The node that watches hands over to a larger one, and a node does not know yet
    When a larger node joins, and one of 4 nodes goes on following the one that watched before
    Then all of them have a change in force within 1 s

  Scenario Outline: The node that watches is lost
    When the node that watches is <trouble> and the configuration changes
    Then the others have the change in force within 3 s

    Examples:
      | trouble                    |
      | killed                     |
      | stopped gracefully         |
      | turned away by the store   |
      | cut off from it in silence |
      | hung with its watch        |
