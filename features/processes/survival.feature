Feature: Callers are served while real processes are killed, frozen and stopped

  Scenario Outline: Streams and jobs survive the kill of any one process
    Given the demo's fleet of real processes
    When <program> of vm-1 is killed while a caller streams through vm-2 and a job runs
    Then the stream is complete
    And every item of the job has one result
    And new requests through vm-2 are answered

    Examples:
      | program    |
      | dispatcher |
      | gateway    |
      | batch      |
      | controller |

  Scenario: Streams and jobs survive a frozen dispatcher
    Given the demo's fleet of real processes
    When the dispatcher of vm-1 is frozen while a caller streams through vm-2 and a job runs
    Then the stream is complete
    And every item of the job has one result
    And new requests through vm-2 are answered

  Scenario: A rolling restart of all VMs cuts and refuses no request
    Given the demo's fleet of real processes
    When each VM's programs get SIGTERM and start again, one VM after the other, under load
    Then no request was cut or refused
    And every program ended with exit code 0

  Scenario: Each hop has a span in the caller's trace
    Given the demo's fleet of real processes
    When a caller streams, calls a service and submits a job in one trace
    Then the trace has spans of gateway, slot wait, dispatcher, attempt and plain call
    And batch items and store calls have spans too

  Scenario: Logs are JSON and spans are exported by OTLP if so configured
    Given an OTLP collector of spans
    When a gateway with that collector and JSON logs is stopped after one request
    Then each log line is a JSON object that names its component
    And the collector got the gateway's spans

  Scenario Outline: A program with invalid settings doesn't start
    When briarvale-<program> starts with settings whose <field> is <value>
    Then it exits with 2 and names the file, line <line> and <field>

    Examples:
      | program    | field        | value     | line |
      | gateway    | gateway_port | "8080"    | 7    |
      | dispatcher | peer_port    | 70000     | 7    |
      | batch      | log_level    | LOUD      | 7    |
      | controller | unknown      | 1         | 7    |

  Scenario: Bad frames at the peer port close only their own connection
    Given the demo's fleet of real processes
    When unauthenticated clients send garbage, a huge length and a wrong proof to the peer port of vm-1
    Then each connection is closed and the bad frames are counted
    And new requests through vm-1 are answered
