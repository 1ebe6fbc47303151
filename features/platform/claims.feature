Feature: An open job is claimed and run again soon after its runner is lost

  # Guards against a job that waits for a node which can't reach the store, while others can.
  Scenario: The node that should claim a job can't reach the store
    When the runner of a job is killed, and of the two others the first to claim it has no store
    Then the job is done within 12 s of the runner's end

  # Guards against an open job that no node runs, in whatever order its runners were lost.
  Scenario: Nodes are killed, stopped, cut off and left with frozen views in random order
    When 150 short schedules of faults are run in virtual time, each with 6 jobs
    Then all items of all accepted jobs are listed 10 s after the last fault
