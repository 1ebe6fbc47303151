Feature: Readers get complete and recent results of the job that they ask for

  # Guards against a result without its text at a node that read its entry before the feed delivered it.
  Scenario: A result handed over with progress is read before the feed delivers its entry
    When a stopping node hands a result and progress over, and a node that no watch reaches is read
    Then the reader gets the complete text, and the same once the feed has delivered the entry

  # Guards against a lost result: "no result yet" from a store's answer that is over a second old.
  Scenario: The store's answer that there is no further result arrives late
    When the store's answers on a job's log are 1.4 s late, and a result is listed meanwhile
    Then the reader isn't told that there is no result

  # Guards against a job that mixes the items of two submissions.
  Scenario: A job whose first submission was refused is submitted again with other items
    When a failed submission leaves its items in the store, and another with the same id is accepted
    Then the bodies are those of the accepted one

  # Guards against an older state of servers from a peer, after the store has lost its history.
  Scenario: A peer sends an older list after the history is gone
    When a feed at revision 100 loses its history, and a peer offers it a list of revision 50
    Then the feed keeps its newer state

  # Guards against accepted jobs that are denied, and can't be ended, once their route is removed.
  Scenario: A version removes the route of jobs that were accepted
    When one job is done, another one runs, and a version without their route is in force
    Then each node returns the results of both, and the body of an item that has not run
    And each node accepts a repeat of the jobs, and neither a new one nor an unknown one
    And the second job can be ended, and no item of it runs from then on

  # Guards against a log entry, of two calls to the store, for nearly each result of a job.
  Scenario Outline: Results that finish within seconds share log entries while the due date is far
    When 10 items of a job that is due in <due> s finish one each 0.3 s
    Then its results are listed in at most <entries> entries, each result within <age> s
    And its runner reads nothing of the job from the store

    Examples:
      | due | entries | age |
      | 18  | 3       | 1.6 |
      | 4   | 10      | 0.5 |

  # Guards against a call to the store for each entry that a page does not need.
  Scenario: A node that knows of no new result reads only the next entry of the log
    When a result is listed that a node doesn't know of, and a reader asks that node for it
    Then the page has the result, and the node read 1 entry of the log for it

  # Guards against items that run without end since their text, as it is stored, passes the size of one object.
  Scenario Outline: An item with a long text of <characters>
    When the events of two items hold 900,000 bytes of <characters>
    Then both are listed as done by another node, with their complete texts

    Examples:
      | characters         |
      | letters            |
      | quotes             |
      | control characters |
      | umlauts            |
