Feature: An error in one part of a node ends neither the node nor its other parts

  What failed is tried again, and is not taken for sound meanwhile.

  # Guards against: an exception that nobody foresaw and that cancels all tasks of the node.
  Scenario: A part fails again and again
    When a part fails 3 times, runs, and is then cancelled
    Then it was run 4 times with growing pauses, and each failure is logged with its traceback
    And it has ended by the cancellation

  # Guards against: a feed that lost its place and counts as current.
  Scenario: A feed's handler fails at a change
    When the handler of a feed fails at a change, twice at the list that follows, and then recovers
    Then the feed was not current until the handler had got the whole list again
    And it has that list's objects

  # Guards against: an odd message that costs the connection of two nodes.
  Scenario: A message that no peer could decode is skipped
    When a node sends a peer a message with a number that doesn't fit, between two sound ones
    Then the peer gets the two sound ones on the same connection

  # Guards against: a node that ends as another process holds one of its ports.
  Scenario Outline: A port is taken as the node starts
    When the <port> port of a node is held by another process for 1.5 s as the node starts
    Then the node is <meanwhile> meanwhile, and ready within 3 s after that

    Examples:
      | port      | meanwhile |
      | callers'  | not ready |
      | peers'    | not ready |
      | heartbeat | not ready |
      | metrics   | ready     |

  # Guards against: a node that ends, or loses waiting callers, when it can't open another descriptor.
  Scenario: Connections can't be accepted for a while
    When a server can't accept connections for 0.5 s while a caller connects
    Then the caller is served on that connection

  # Guards against: a handler whose error ends all connections of the process.
  Scenario: The handler of a connection fails
    When the handler of one of two connections fails
    Then the other connection and new ones are served

  # Guards against: descriptors used up by idle connections to servers that are gone.
  Scenario: Idle connections that may not be reused are closed
    When a server that closes nothing has answered on 3 connections, which may be reused for 0.2 s
    Then the node has closed all of them within 2 s

  # Guards against: a node that lists without end as the store has no history at any watch.
  Scenario: The store has lost its history at each watch
    When a store answers each watch of a feed with 410 for 3 s
    Then the feed has listed the kind at least twice, and at most 20 times

  # Guards against: a node that publishes changes to others although it can't read them itself.
  Scenario: The watch of a publisher fails for a reason that nobody foresaw
    When the watch of a node that publishes a kind fails with an unexpected error
    Then the node tells a new subscriber that it does not publish the kind

  # Guards against: a node or store process that the platform's SIGHUP ends, as it comes while it still starts.
  Scenario Outline: The settings change while a process starts
    When the process <program> gets SIGHUP while it imports its first library
    Then it goes on, and ends with 0 at SIGTERM

    Examples:
      | program    |
      | node       |
      | store_node |

  # Guards against: a change of the settings that is lost as a node doesn't watch signals yet.
  Scenario: The settings change as a node begins to run
    When a node gets SIGHUP as it begins to run
    Then it reads its settings again, and ends with 0 at SIGTERM

  # Guards against: a node that doesn't start, as its settings file is still being written.
  Scenario Outline: The settings are not whole yet as a node starts
    When a node starts while its settings file is <state>, and the file is whole after it was read
    Then it goes on, and ends with 0 at SIGTERM

    Examples:
      | state    |
      | missing  |
      | empty    |
      | cut off  |

  # Guards against: a node that ends at its start, as nobody reads its logs.
  Scenario Outline: A node starts without standard streams
    When a node starts with <streams> closed
    Then it answers readiness checks, and ends with 0 at SIGTERM

    Examples:
      | streams                  |
      | standard output          |
      | all its standard streams |

  # Guards against: a node that ends at SIGHUP, as a setting has another type than expected.
  Scenario Outline: The settings of a running node become odd
    When a node gets SIGHUP after its settings file got <settings>
    Then it rejects the new settings, and ends with 0 at SIGTERM

    Examples:
      | settings                          |
      | internal_ports = 5                |
      | internal_ports = ["a", "b"]       |
      | internal_ports = [7660]           |
      | bounds = { grace_s = "8" }        |
      | bounds = { grace_s = nan }        |
      | bounds = 7                        |
      | listen = { front = 8 }            |
      | limits = { cpu_share = "1/2" }    |
      | platform = { address = "h:²" }    |
      | bytes that are no UTF-8           |
      | 5,000 nested lists                |

  # Guards against: a node that cuts its callers' requests, as another part fails while it stops.
  Scenario: Parts of a node fail while it stops
    When a node stops that can neither hand over its jobs nor say that it leaves
    Then the running request gets its complete answer, and the connection then closes
    And later requests on open connections are refused as not run
    And the node exits within its grace period
