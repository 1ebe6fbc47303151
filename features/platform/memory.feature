Feature: What jobs hold stays out of the memory of nodes that only know of them

  # Guards against LOST: a node that is killed for its memory cuts its callers' requests.
  Scenario: A node's process lists the jobs of a busy day
    When 300 jobs, each of 10 items of 15 kB, stand in the store and a node's process starts
    Then it has listed the jobs within 128 MB of memory

  # Guards against LOST: all nodes read all bodies at once, through narrow links, when watches are cut.
  Scenario: Nodes list jobs again after watches were cut
    When 30 jobs, each of 10 items of 15 kB, stand in the store and it cuts all watches
    Then no node reads more than 3 kB for each job
