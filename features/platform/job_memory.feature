Feature: A node runs as many jobs at a time as its memory allows

  # Guards against nodes that are killed for their memory by accepted jobs, and again by each attempt to run them.
  Scenario: A burst of large jobs
    When 12 jobs of 200 items of 15 kB come at once to a node with memory for 27 MB of them
    Then at most 27 MB run at a time, and all 12 have run once their items have finished

  # Guards against a service without servers whose jobs keep those of other services from running.
  Scenario: The jobs of one service fill the memory
    When jobs of a service that has no server fill the memory of a node, and a job of another service comes
    Then the job of the other service runs, and no further one of the first

  Scenario Outline: What a machine's memory leaves for jobs
    Then a machine of <machine> MB may run jobs of <jobs> MB at a time

    Examples:
      | machine | jobs |
      | 150     | 27   |
      | 300     | 102  |
      | 64      | 16   |
      | 4000    | 256  |
      | 0       | 256  |

  # Guards against jobs that are accepted and held, or forgotten, while others use up the memory.
  Scenario: Jobs that wait for memory
    When 4 jobs come to a node that has memory for one
    Then one runs at a time, no other is held in memory, and all are done

  # Guards against jobs that wait until a node is taken for lost, although it stopped gracefully.
  Scenario: A node stops whose jobs wait for memory
    When 4 jobs come to a node that has memory for one, and it stops gracefully
    Then another node has all 4 jobs at once
