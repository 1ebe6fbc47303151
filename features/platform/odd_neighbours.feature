Feature: A node outlives whatever its neighbours say

  The neighbours are the store and those who write to it, backend servers, callers and operators.
  What a node can't use is refused or passed over; everything else goes on.

  # Guards against: an entry of another writer in `servers` that ends every node, at each start.
  Scenario Outline: An entry of another writer whose <part> is no usable text or number
    When an entry whose <part> is <value> stands beside the entry of a sound server
    Then requests are served at each node, also at one that starts now
    And no node uses the entry

    Examples:
      | part    | value                                  |
      | service | "\udc80\udcff"                         |
      | zone    | "\ud800"                               |
      | address | "\udc80:80"                            |
      | address | "a..b:80"                              |
      | address | "127.0.0.1:٨٠"                         |
      | slots   | 1000000000000                          |
      | born    | 18446744073709551616                   |
      | name    | "i-1\r\nX-Other: 1"                    |

  # Guards against: an entry that the store's client can't decode and that ends every node, at each start.
  Scenario Outline: An entry of another writer that can't be decoded costs itself alone
    When <what> stands in the list of servers beside the entry of a sound server
    Then requests are served at each node, also at one that starts now
    And no node uses the entry

    Examples:
      | what                                  |
      | base64 that is cut short              |
      | base64 that is a number               |
      | a name that can't be encoded          |
      | an empty name                         |
      | a number of 5,000 digits              |
      | 100,000 nested lists                  |
      | a text that is no UTF-8               |

  # Guards against: servers and jobs that are dropped, or a node that ends, as the store answers with
  # what is no list.
  Scenario Outline: A list that the store's interface doesn't provide for is no list
    When the store answers lists and watches with <answer> for 1.5 s, to nodes that serve and one that starts
    Then requests are served at each node, also at one that starts now
    And the nodes that ran before never lacked the sound server

    Examples:
      | answer                                            |
      | 200 {}                                            |
      | 200 []                                            |
      | 200 null                                          |
      | 200 {"items": null, "as_of": 9}                   |
      | 200 {"items": [], "events": [], "as_of": 0}       |
      | 200 {"items": [], "events": []}                   |
      | 200 {"items": [{}], "events": [{}], "as_of": 999} |
      | 200 {"items": [], "has_more": true, "as_of": 999} |
      | 404 {}                                            |
      | 409 {}                                            |
      | 410 {}                                            |
      | 413 {}                                            |
      | 302 {}                                            |

  # Guards against: a version that ends every node, or that keeps every request from being served.
  Scenario Outline: A version that makes no sense leaves the last good one in force
    When an operator writes a version whose <field> is <value>
    Then requests are served at each node, also at one that starts later
    And the next good version is in force at each node

    Examples:
      | field                     | value                  |
      | version                   | 1000000000000000000000 |
      | version                   | true                   |
      | routes                    | null                   |
      | routes                    | {"look": {}}           |
      | routes.1                  | 7                      |
      | routes.1.host             | 5                      |
      | routes.1.host             | "\udc80"               |
      | routes.1.path_prefix      | "pay"                  |
      | routes.1.max_attempts     | 1e999                  |
      | routes.1.priority         | 70000                  |
      | routes.1.timeout_ms       | -1                     |
      | routes.1.timeout_ms       | 100000000000000000000  |
      | routes.1.backends         | [{"service": "a"}]     |
      | routes.5.retention_s      | 1e300                  |
      | limits                    | []                     |
      | limits.max_header_bytes   | 1                      |
      | limits.max_body_bytes     | -1                     |
      | limits.header_timeout_ms  | 1                      |
      | limits.idle_timeout_ms    | 1e308                  |

  # Guards against: a load report that ends the owner of a pool whenever it has just started.
  Scenario Outline: A load report that can't be decoded costs only itself
    When all servers report <report> to owners that have just started
    Then requests are served at each node, also at one that starts now

    Examples:
      | report                                     |
      | 100,000 nested lists                       |
      | {"num_running": 1e999, "num_waiting": 0}   |
      | {"num_running": -1, "num_waiting": 0}      |
      | {"num_running": 1, "num_waiting": 1e18}    |
      | []                                         |

  # Guards against: a refusal that ends the node, as an answer to HEAD must have no body.
  Scenario: A request for a head is refused
    When a caller asks for the head of an unknown path and of a path whose service has no server
    Then it gets 404 and 503 without a body, on one connection that stays open
    And a head with headers beyond the limit is refused with 431, also without a body

  # Guards against: a number that no message between nodes can hold and that ends two nodes.
  Scenario Outline: A caller states a number that no message can hold
    When a request whose header <header> is <value> comes to each node
    Then it is answered with success at each node

    Examples:
      | header                  | value                                     |
      | Briarvale-Token-Usage   | 350,4294967295                            |
      | Briarvale-Token-Usage   | 18446744073709551616,18446744073709551616 |
      | Briarvale-Deadline-Ms   | 99999999999999999999                      |
      | Briarvale-Prompt-Prefix | a1:99999999999999999999,b2:5              |

  # Guards against: an item that ends each node that runs its job, so that no item of the job ends.
  Scenario: One item of a job states more tokens than any message can hold
    When a job is submitted whose first item states 4294967295 tokens of output
    Then the job is accepted, and its other items end within 15 s

  # Guards against: malformed jobs that were answered as an error of the node.
  Scenario Outline: A malformed job is refused as the caller's error
    When a job is submitted whose <field> is <value>
    Then it is refused with 400, and no node has ended

    Examples:
      | field    | value                    |
      | id       | 7                        |
      | id       | "\udc80"                 |
      | path     | ""                       |
      | headers  | {"a": 1}                 |
      | headers  | []                       |
      | body     | "gIH/w"                  |
      | body     | 7                        |
      | tokens   | 1e999                    |
      | tokens   | 100000000000000000000000 |
      | tokens   | "9"                      |

  # Guards against: requests that wait until their deadline for a server that can hold them.
  Scenario: A prompt has more tokens than any server holds
    When servers hold 1,000 tokens, and a request and an item of a job state a prompt of 1,001
    Then both are refused at once with 413, and those with 1,000 are accepted

  # Guards against: a node that serves nobody for seconds while it cuts up one large odd entry.
  Scenario: A page with an entry as large as the store takes is decoded soon
    When a page holds a sound entry and one of 500,000 nested lists
    Then the sound one is decoded, within the second between two readiness checks

  # Guards against: a VM that counts as gone for a moment, as its entry could not be decoded in a list.
  Scenario Outline: A list in which the entry of a VM can't be decoded
    When a node that knows a VM gets a list in which the entry of this VM is <entry>
    Then it knows the VM by the entry that it had before, until a list lacks the VM

    Examples:
      | entry                                       |
      | no text                                     |
      | ""                                          |
      | {}                                          |
      | [1]                                         |
      | {"host": 7}                                 |
      | {"host": "a..b"}                            |
      | {"status": "unheard of"}                    |
      | {"processor_cores": 1e300}                  |

  # Guards against: an odd answer of the VM list that fails a task instead of being no answer.
  Scenario Outline: A VM list that can't be decoded
    When the platform's VM list is answered with <document>
    Then the list is unavailable

    Examples:
      | document                                    |
      | []                                          |
      | {"vms": {}}                                 |
      | {"vms": [7]}                                |
      | {"vms": [{"vm": "a"}]}                      |

  # Guards against: a node that stands still for half a minute over one short message of a stranger.
  Scenario Outline: A stranger sends peers a message that can't be decoded
    When a process without the peers' secret sends a node a message with <what>
    Then a lookup is served there within 2 s, and the connection is closed

    Examples:
      | what                               |
      | a list of 470 million elements     |
      | a value that its enum doesn't have |
      | a length of 4 MB                   |

  # Guards against: a node that stands still for seconds over one malformed line of a caller or a server.
  Scenario Outline: A line of spaces that is malformed
    When <what> of 30,000 spaces ends in a byte that is not allowed there
    Then it is rejected within 0.5 s

    Examples:
      | what                        |
      | a header of a request       |
      | a header of an answer       |
      | a chunk header of a request |
      | a chunk header of an answer |

  # Guards against: lines that the HTTP library accepts and a node rejects, or reads otherwise.
  Scenario: Lines of a head and of chunks
    When 50,000 short header lines and chunk headers are drawn
    Then each is accepted, and read, as the HTTP library does by itself
