Feature: Nodes that don't run a job hold no item bodies of it in memory

  # Guards against lost requests: a node that is killed for its memory use cuts its callers off.
  Scenario: A node's process lists the jobs of a busy day
    When 300 jobs, each of 10 items of 15 kB, are in the store and a node's process starts
    Then it has listed the jobs within 128 MB of memory

  # Guards against lost requests: after watches are cut, all nodes read all bodies over slow links.
  Scenario: Nodes list jobs again after watches were cut
    When 30 jobs, each of 10 items of 15 kB, are in the store and it cuts all watches
    Then no node reads more than 3 kB for each job
