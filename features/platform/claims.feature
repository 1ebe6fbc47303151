Feature: An open job is run again soon, whatever became of its runner

  # Guards against a job that waits for a node which can't reach the store, while others can.
  Scenario: The node that should claim a job can't reach the store
    When the runner of a job is killed, and of the two others the first to claim it has no store
    Then the job is done within 12 s of the runner's end
