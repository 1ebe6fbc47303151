Feature: Batch jobs of opaque items, stored in the platform's store

  Scenario: A job is accepted once and read the same at every node
    When a caller submits a job to two nodes at once and reads it at both
    Then both accept it, each item runs once, and both list the same results in the same positions
    And the bodies of items come back byte for byte before the end

  Scenario: Items that fail are retried or dead-lettered
    When items can never be done, fail at each run, or fail once
    Then the first two are dead-lettered after 1 and 3 runs, and the third is done

  Scenario: An interrupted item resumes after its last event
    When the backend server breaks off an item midway
    Then its text is complete and the second run resumed after the last event

  Scenario: An item on a server that hangs is run on another server
    When the backend server that runs an item stops sending
    Then the item is done by the other server

  # Guards against an item that stays on a server which sends bytes but never a complete event.
  Scenario: An item on a server that sends bytes but no events is run on another server
    When the backend server that runs an item sends bytes that form no event
    Then the item is done by the other server

  Scenario: An item that ran on two servers as they crashed is still run on a third
    When two backend servers crash while they run the same item
    Then the item is done by the other server

  # Guards against an item that no server may run until it expires, after crashes of several servers.
  Scenario: An item that was running at five crashes is done once the crashes stop
    When the backend server that runs an item crashes, 5 times in a row
    Then the item is done within 5 s of the last disturbance

  # Guards against a lost slot that excludes its server, when crashes have excluded the others already.
  Scenario: An item that two crashes and revoked slots interrupted is done once the disturbances stop
    When the backend server that runs an item crashes twice, and online requests take its slot 4 times
    Then the item is done within 5 s of the last disturbance

  # Guards against an item that waits forever for other servers while its last one has free slots.
  Scenario: An item that a server broke off runs there again if all other servers stay full
    When a server breaks an item off while another item fills the only other server for 15 s
    Then the item is done within 5 s

  # Guards against an unexpected error while one item runs that stops its whole job.
  Scenario: An item that always raises an unexpected error delays no other item
    When the request of one item of a job can't be built
    Then the other items are done within 5 s, after one run each

  Scenario: An ended job stops and lists no further results
    When a caller ends a running job twice, at a node that doesn't run it
    Then its items stop at the backend servers and nothing more is listed

  # Guards against runs that continue after their job's end while their node waits for the store.
  Scenario: An ended job stops at once at a node whose store is silent while large jobs arrive
    When a job ends whose runner gets no answer from the store, after 4 large jobs were submitted
    Then its items stop at the backend servers within 1 s

  Scenario: A job whose runner is killed is finished by another node
    When the node that runs a job is killed
    Then another node finishes it

  Scenario: A node that stops gracefully hands its job over
    When the node that runs a job stops gracefully
    Then another node finishes it

  Scenario: A hand-over whose log position another entry takes is written at the next position
    When the node that runs a job stops gracefully just as another entry takes its log position
    Then the job is released in the next entry, and another node finishes it

  Scenario: An unknown job is answered as not found, or as unavailable while the store is down
    When a job that does not exist is read, with the store up and then down
    Then the answers are 404 and 503

  Scenario: A job is refused as not run only if nothing of it was stored
    When the store refuses every write while a job is submitted
    Then the caller gets 503 and nothing of the job is stored

  Scenario Outline: A job is accepted though the store's answer to its write was lost
    When the store writes a job's <object> and loses the answer
    Then the caller gets 202 and the job is done

    Examples:
      | object |
      | head   |
      | items  |

  Scenario: Results are written once the store answers again after an outage
    When the store is unavailable for 4.5 s while a job runs
    Then the job is done, and no node has ended

  Scenario: Readers do not delay the writing of results after an outage
    When 40 readers poll a node that the store refuses for 4 s while it runs a job
    Then the results are listed within 3 s of the end of the outage

  # Guards against a valid job that is refused because one item is larger than a stored object may be.
  Scenario: A job with an item larger than one object is accepted
    When a caller submits a job with an item of 900 kB
    Then it is accepted and the body comes back complete

  Scenario: A job larger than one object is run
    When a caller submits a job of 1.5 MB
    Then it is done and its bodies come back complete

  # Guards against results that the store refuses for their size at each attempt.
  Scenario: Results that grow by JSON escaping when stored are listed
    When 8 items are done at once whose texts are quotes only, 1.8 MB as they are stored
    Then all 8 are listed as done

  # Guards against a hand-over that the store refuses for its size.
  Scenario: A node that stops hands over a job whose progress is too large for one entry
    When the node that runs 8 items whose texts are all quotes stops gracefully after 5 of 6 events
    Then the job is released and another node lists all 8

  Scenario: All nodes are killed at once, and one of them never comes back
    When every node is killed while a job runs, and all but its runner start again
    Then another node finishes it
    And a node owns the pool within 2 s of the start

  Scenario: All nodes are killed at once and come back
    When every node is killed while jobs run, and all start again
    Then each job is claimed at most once, and no item runs more than twice

  Scenario: Nodes that start together agree within a second on who owns a pool
    When 5 nodes are killed and start again at the same moment
    Then after 1 s just one of them owns the pool

  Scenario: A large job whose runner is killed is finished by another node
    When the node that runs a job larger than one object is killed
    Then another node finishes it

  Scenario: A malformed job is refused with the name of the invalid field
    When malformed jobs of every kind are submitted
    Then each is answered 400 with the field's name, and nothing is stored

  # Guards against a job that is accepted though one of its items can never be sent to a server.
  Scenario: A job with an item that can't be sent is refused with the name of the invalid field
    When jobs with an id, path or header that can't be sent are submitted
    Then each is answered 400 with the field's name, and nothing is stored
