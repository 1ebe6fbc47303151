Feature: Batch jobs of opaque items, kept in the platform's store

  Scenario: A job is accepted once and read the same at every node
    When a caller submits a job to two nodes at once and reads it at both
    Then both accept it, each item runs once, and both list the same results in the same positions
    And the bodies of items come back byte for byte before the end

  Scenario: Items that fail end as the page says
    When items can never be done, fail at each run, or fail once
    Then the first two are dead-lettered after 1 and 3 runs, and the third is done

  Scenario: An item that is cut goes on after its last event
    When the backend server breaks off an item midway
    Then its text is whole and the second run went on after the last event

  Scenario: An item on a server that hangs goes on elsewhere
    When the backend server that runs an item falls silent
    Then the item is done by the other server

  # Guards against an item that stays on a server for ever since bytes come that make no event.
  Scenario: An item on a server that sends bytes without end goes on elsewhere
    When the backend server that runs an item sends bytes that make no event
    Then the item is done by the other server

  Scenario: An item that ran on two servers as they crashed is no suspect for good
    When two backend servers crash while they run the same item
    Then the item is done by the other server

  # Guards against an item that several crashes, each elsewhere, left without a place until it expired.
  Scenario: An item that ran on five servers as they crashed is done once all is calm
    When the backend server that runs an item crashes, 5 times in a row
    Then the item is done within 5 s of the last disturbance

  # Guards against turns of waiting for a slot that used up the places that crashes left to an item.
  Scenario: An item that crashed with two servers and lost its slots is done once all is calm
    When the backend server that runs an item crashes twice, and online requests take its slot 4 times
    Then the item is done within 5 s of the last disturbance

  # Guards against an item that waits for other servers without end while its last one has room.
  Scenario: An item that a server broke off runs there again if all others stay full
    When a server breaks an item off while another item fills the only other server for 15 s
    Then the item is done within 5 s

  # Guards against one item whose run raises an unexpected error each time and so stops its whole job.
  Scenario: An item that raises an unexpected error each time holds no other item up
    When the request of one item of a job can't be made
    Then the other items are done within 5 s, after one run each

  Scenario: An ended job stops and keeps what it listed
    When a caller ends a job that runs, at another node, twice
    Then its items stop at the backend servers and nothing more is listed

  # Guards against runs that go on after their job's end while their node waits for the store.
  Scenario: An ended job stops at once at a node whose store is silent while large jobs arrive
    When a job ends that a node runs whose store is silent, after 4 large jobs were submitted elsewhere
    Then its items stop at the backend servers within 1 s

  Scenario: A job outlives its runner
    When the node that runs a job is killed
    Then another node finishes it

  Scenario: A node that stops hands its job over
    When the node that runs a job stops gracefully
    Then another node finishes it

  Scenario: A hand-over whose place in the log is taken is written after the other entry
    When the node that runs a job stops gracefully just as another entry takes its place
    Then the job is given back in the entry after it, and another node finishes it

  Scenario: An unknown job is not found; without the store nobody can say
    When a job that does not exist is read, with the store and without
    Then the answers are 404 and 503

  Scenario: A job is refused as not run only if surely nothing was kept
    When the store turns every write away while a job is submitted
    Then the caller gets 503 and nothing of the job is kept

  Scenario Outline: A job whose acceptance was written and not answered is accepted
    When the store writes <part> and loses the answer
    Then the caller gets 202 and the job is done

    Examples:
      | part      |
      | its head  |
      | its items |

  Scenario: Results wait for a store that is away
    When the store is away while a job runs, and comes back
    Then the job is done, and no node has ended

  Scenario: Readers do not hold results up after an outage
    When 40 readers poll a node that the store turns away for 4 s while it runs a job
    Then the results are listed within 3 s of the store's return

  # Guards against a proper job that is denied because one of its items fits into no object.
  Scenario: An item larger than one object
    When a caller submits a job with an item of 900 kB
    Then it is accepted and the body comes back whole

  Scenario: A job larger than one object
    When a caller submits a job of 1.5 MB
    Then it is done and its bodies come back whole

  # Guards against results that the store refuses for their size, for ever.
  Scenario: Results that grow when they are stored are listed
    When 8 items are done at once whose texts are quotes only, 1.8 MB as they are stored
    Then all 8 are listed as done

  # Guards against a hand-over that the store refuses for its size.
  Scenario: A node that stops hands over a job whose progress is too large for one entry
    When the node that runs 8 such items stops gracefully after 5 of 6 events
    Then the job is given back and another node lists all 8

  Scenario: All nodes are killed at once, and one of them never comes back
    When every node is killed while a job runs, and all but its runner start again
    Then another node finishes it
    And a request is served with a slot of the pool's owner within 2 s of the start

  Scenario: All nodes are killed at once and come back
    When every node is killed while jobs run, and all start again
    Then each job is taken up once, and no item runs more than twice

  Scenario: Nodes that start together agree within a second on who owns a pool
    When 5 nodes are killed and start again at the same moment
    Then after 1 s just one of them owns the pool

  Scenario: A large job outlives its runner
    When the node that runs a job larger than one object is killed
    Then another node finishes it

  Scenario: A malformed job is refused with its field
    When jobs with faults of every kind are submitted
    Then each is answered 400 and names the field, and nothing is kept

  # Guards against a job that is accepted though one of its items can never be sent to a server.
  Scenario: A job with an item that can't be sent is refused with its field
    When jobs with an id, path or header that can't be sent are submitted
    Then each is answered 400 and names the field, and nothing is kept
