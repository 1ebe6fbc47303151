Feature: Readers get a job's own results, whole and recent

  # Guards against a result without its text at a node that read its entry before the feed delivered it.
  Scenario: A result handed over with progress is read before the feed delivers its entry
    When a stopping node hands a result and progress over, and a node that no watch reaches is read
    Then the reader gets the complete text, and the same once the feed has delivered the entry

  # Guards against LOST: "no result yet" from an answer of the store that is over a second old.
  Scenario: The store's answer that there is no further result arrives late
    When the store's answers on a job's log are 1.4 s late, and a result is listed meanwhile
    Then the reader isn't told that there is no result

  # Guards against items of two submissions in one job.
  Scenario: A job whose first submission was refused is submitted again with other items
    When a failed submission leaves its items in the store, and another with the same id is accepted
    Then the bodies are those of the accepted one

  # Guards against an older state of servers that a peer sends after the store's history is gone.
  Scenario: A peer sends an older list after the history is gone
    When a feed at revision 100 loses its history, and a peer offers it a list of revision 50
    Then the feed keeps its newer state
