Feature: What readers are told of jobs is whole, recent and their own

  # Guards against a result without its text at a node that read its entry before the feed brought it.
  Scenario: A reader comes before the feed to a result that was handed over with progress
    When a stopping node hands a result and progress over, and a node that no watch reaches is read
    Then the reader gets the whole text, and the same once the feed has brought the entry

  # Guards against LOST: "no result yet" that was true when the store said it, over a second before.
  Scenario: The store tells late that there is no further result
    When the store's answers on a job's log are 1.4 s late, and a result is listed meanwhile
    Then the reader is not told that there is none

  # Guards against items of two submissions in one job.
  Scenario: A job whose first submission was refused comes again with other items
    When a submission leaves its items behind, and another with the same id is accepted
    Then the bodies are those of the accepted one

  # Guards against an older state of servers that a peer tells after the history is gone.
  Scenario: A peer tells an older list after the history is gone
    When a feed at revision 100 loses its history, and a peer offers it a list of revision 50
    Then the feed stays at what it knew
