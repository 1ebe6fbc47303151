Feature: An open job is claimed and run again soon after its runner is lost

  # Guards against a job that waits for a node which can't reach the store, while others can.
  Scenario: The node that should claim a job can't reach the store
    When a job's runner is killed, and the first of the two others to claim it can't reach the store
    Then the job is done within 12 s after the runner was killed

  # Guards against an open job that no node runs, in whatever order its runners were lost.
  Scenario: Nodes are killed, stopped, cut off and left with frozen views in random order
    When 150 short schedules of faults are run in virtual time, each with 6 jobs
    Then all items of all accepted jobs are listed 10 s after the last fault
