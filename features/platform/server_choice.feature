Feature: Choosing servers that differ in speed and hold parts of prompts

  # Guards against overloading fast servers, and against taking single slow steps for a slow server.
  Scenario: Servers of 0.6, 1 and 1.6 times the mean speed, of whose steps 15 in 100 take long
    When load runs on servers of unlike speeds
    Then each server's step time is estimated within a fifth
    And the busiest server gets at most 1.15 times the mean, relative to its speed

  # Guards against telling servers apart by chance, and then sending them unlike loads.
  Scenario: Servers of one speed, of whose steps 15 in 100 take long
    When load runs on servers of one speed
    Then each server's step time is estimated within a fifth
    And the busiest server gets at most 1.1 times the mean, relative to its speed

  # Guards against speed estimates that outlive the speed.
  Scenario: A server becomes slow, and is replaced later
    When a server's steps take 3 times as long after 30 runs
    Then it counts as slow after 10 more runs
    And its replacement counts as a server of median speed

  # Guards against prefilling what another server holds, also where memory is short.
  Scenario Outline: Prompts share parts, and servers hold <tokens> tokens
    When load with shared prompt parts runs on servers of <tokens> tokens
    Then at most <share> times as many shared parts are prefilled again as if the pool knew of none

    Examples:
      | tokens | share |
      | 60000  | 0.5   |
      | 12000  | 0.5   |

  # Guards against prompt parts that count as cached after they were evicted.
  Scenario: Memory is shared by cached parts and running requests
    When prompts of 3 parts exceed the memory of a server
    Then only the parts used last count as cached, and none without the parts before it

  # Guards against owners that exhaust their memory over prompts of very many small parts.
  Scenario Outline: Prompts of many parts of <tokens> tokens
    When 100 prompts of 1,600 parts of <tokens> tokens each run on a server with memory for 1,000,000
    Then at most 2,048 parts are remembered, and the last prompt counts as cached

    Examples:
      | tokens |
      | 1      |
      | 0      |

  # Guards against waits that cost more than they save, that keep slots empty while others need
  # them, or that miss the latency target, and against never waiting.
  Scenario Outline: A full server holds a prompt of <tokens> tokens, and its run should end in <wait> ms
    When a request may start <start> ms later, and <spare> slots are spare
    Then the request gets <result>

    Examples:
      | tokens | wait | start | spare | result           |
      | 20000  | 50   | 600   | 0     | no slot yet      |
      | 20000  | 450  | 600   | 0     | the free server  |
      | 500    | 50   | 600   | 0     | the free server  |
      | 20000  | 50   | 600   | -1    | the free server  |
      | 20000  | 50   | 150   | 0     | the free server  |

  # Guards against waits without end for a run that takes longer than expected.
  Scenario: A request waits for a better server, whose run does not end
    When a request waits for a server whose run does not end
    Then it gets the free server before it must start

  # Guards against requests sent to a server for a cache that it lost.
  Scenario: A server restarts empty
    When a server that holds a prompt restarts
    Then nothing counts as cached there

  # Guards against ejecting a slow server for its usual runs, and against missing hung ones.
  Scenario: A server of half the usual speed
    When its run lasts 2.75 times as long as the usual run of all servers
    Then that run is not overdue there, and is overdue at a server of usual speed
    And a run that lasts twice as long is overdue there

  # Guards against owners that choose without the times, prompt parts and memory that they need.
  Scenario: Nodes report what the owner of a pool needs to know
    When a stream and a job of items run on two nodes, with 5,000 tokens of memory configured
    Then the owner learns the times of their events
    And the owner knows the prompt parts that the server holds, and its memory
