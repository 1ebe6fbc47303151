Feature: Nodes call the store through links of 15 Mbit/s

  # Guards against store calls that time out at each attempt while their answers are still arriving.
  Scenario: Large objects are read through a narrow link by several calls at once
    When six calls at once read objects of 1 MB through a link of 15 Mbit/s, until each succeeds
    Then all have succeeded at the first attempt

  # Guards against writes that time out at each attempt while their bytes are still being sent.
  Scenario: Large objects are written through a narrow link by several calls at once
    When six calls at once write objects of 900 kB through a link of 15 Mbit/s
    Then all have succeeded at the first attempt

  # Guards against a store that keeps a call open for ever by sending a byte now and then.
  Scenario: A call to a store that sends its answer too slowly fails
    When the store sends a byte of its answer every 100 ms
    Then the call has failed within 4 s

  # Guards against jobs that wait while their node reads the items of large ones.
  Scenario: A node that can't read the items of large jobs runs other jobs
    When a single node can read no part of 12 large jobs, and a small job is submitted
    Then the small job is done within 4 s
