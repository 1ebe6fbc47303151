Feature: Limits of a node, and how its process starts, stops, logs and serves metrics

  Scenario: Requests beyond the configured limits are refused
    When callers send headers and a body beyond the limits, and bytes that are not HTTP
    Then they get 431, 413 and 400, and a valid request on a new connection is served

  Scenario: A connection that stays idle is closed
    When a caller's connection stays idle beyond the configured time
    Then the node closes it after that time, and not before

  Scenario: A node is not ready before its first configuration
    When a node starts while the store is unavailable
    Then its readiness is 503 and a request gets 503 as not run
    And both are 200 once the store is back

  Scenario: Log lines are rate-limited
    When 2,000 lines are logged at once
    Then no more than the burst is written, and the next line says how many were dropped

  Scenario: The process rejects invalid settings, and reloads and stops at signals
    When a node's process starts with an invalid setting, and another with valid ones
    Then the first exits with 2 and names the invalid field
    And the other logs JSON lines, reads its settings again at SIGHUP and exits with 0 at SIGTERM
    And its metrics are served at the port of the deploy file

  # Guards against a node that crashes because a new connection is reset before it is set up.
  Scenario: A connection that is lost right after it opened counts as a failed connect
    When a connection to a server is lost before the node has set it up
    Then the node reports that no byte was sent

  # Guards against: a node that starts again in the same process and finds its peer port in use.
  Scenario: The port of a peer server is free once the server has been cancelled
    When a peer server with an open connection is cancelled and started again, 5 times without garbage collection
    Then it listens each time
