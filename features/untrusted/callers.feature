Feature: Untrusted callers can neither end a node's process nor fill its machine's memory

  # Each scenario starts a node's process with lowered limits. Callers stay connected until the checks are done.

  # Guards against a process that is killed for its memory use: bodies that never end are all held in full.
  Scenario: Many large chunked bodies that stop just short of their end
    Given a node's process with 100 MB of memory and 150 descriptors
    When 40 callers send chunked bodies of 4,000,000 bytes in chunks of 65,536 and stay before their end
    Then the process is alive, within its limits, and answers an ordinary request

  # Guards against a process that is killed for its memory use: each small chunk costs more than its bytes.
  Scenario: Many chunked bodies in very small chunks that stop just short of their end
    Given a node's process with 100 MB of memory and 150 descriptors
    When 36 callers send chunked bodies of 1,000,000 bytes in chunks of 24 and stay before their end
    Then the process is alive, within its limits, and answers an ordinary request

  # Guards against a process that reads ahead without bound for callers that don't read their answers.
  Scenario: Pipelined requests with unread responses at the readiness path
    Given a node's process with 100 MB of memory and 150 descriptors
    When 24 callers send 8,000,000 bytes of pipelined requests to the readiness address and read nothing
    Then the process is alive, within its limits, and answers an ordinary request

  # Guards against the same at the address of callers, where refusals are answers too.
  Scenario: Pipelined requests with unread responses at paths that no route has
    Given a node's process with 100 MB of memory and 150 descriptors
    When 24 callers send 8,000,000 bytes of pipelined requests to unknown paths and read nothing
    Then the process is alive, within its limits, and answers an ordinary request

  # Guards against buffering what a backend server sends faster than its caller reads.
  Scenario: Slow readers of large responses
    Given a node's process with 100 MB of memory and 150 descriptors
    When 40 callers request responses of 64,000,000 bytes and read nothing
    Then the process is alive, within its limits, and answers an ordinary request

  # Guards against connections that leave no descriptor for servers, peers and the store.
  Scenario: More idle connections than the process has descriptors
    Given a node's process with 100 MB of memory and 150 descriptors
    When 200 callers connect and send nothing
    Then the process is alive, within its limits, and answers an ordinary request

  # Guards against the same by callers that appear to be about to send a request.
  Scenario: Callers that send half a head and stay
    Given a node's process with 100 MB of memory and 150 descriptors
    When 200 callers send 12,000 bytes of a head and stay
    Then the process is alive, within its limits, and answers an ordinary request
