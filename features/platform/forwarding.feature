Feature: A node forwards requests byte for byte, and reports truthfully whether they ran

  Scenario: An idempotent request gets the backend server's complete answer
    When a caller asks a plain service over one connection three times
    Then each answer is the server's, with its signature, and all came over one connection
    And the server got the caller's method, path, body and id, its own name, and the remaining time

  Scenario: A path without a route is not found, and nothing runs
    When a caller asks for a path without a route
    Then the answer is 404 and no server saw a request

  Scenario: A request that a server did not run goes to another server
    When the first answers say that the request was not run
    Then the caller gets a complete answer

  Scenario: All servers are full
    When every answer says that the request was not run
    Then the caller gets 503 with Retry-After, and no server ran it

  Scenario: An idempotent request whose answer is lost runs again
    When the answer to an idempotent request is lost once
    Then the caller gets a complete answer
    And the request reached servers 2 times

  Scenario: A non-idempotent request whose answer is lost never runs again
    When the answer to a non-idempotent request is lost once
    Then the caller gets 502
    And the request reached servers 1 times

  Scenario: An idempotent request that a server answers 500 runs again elsewhere
    When a server answers an idempotent request with 500 once
    Then the caller gets the complete answer of another server

  Scenario: A request that every server answers 500
    When every server answers an idempotent request with 500
    Then the caller gets a server's own 500 after as many runs as the route allows

  Scenario: A non-idempotent request that a server answers 500 never runs again
    When a server answers a non-idempotent request with 500 once
    Then the caller gets a server's own 500 after one run

  Scenario: A server that answers every request with 500 gets few requests
    When one of three servers answers every request with 500 and 60 non-idempotent requests are sent
    Then fewer than one in six of them get a 500

  Scenario: An answer to another request is not forwarded to the caller
    When an answer to another request arrives first
    Then the caller gets a complete answer

  Scenario: A successful answer without a signature is not forwarded
    When every answer lacks a signature
    Then the caller gets 502

  Scenario: The route's timeout ends the wait and the run
    When a server never answers on a route with a short timeout
    Then the caller gets 504 shortly after the timeout, and the run has ended

  # Guards against a 504 that states that a request has not run while a server was running it.
  Scenario: A request that was sent before its timeout is not reported as not run
    When a server never answers on a route with a short timeout
    Then the caller's error does not say that the request was not run

  Scenario: An idempotent request at a silent server runs again in time
    When one of two servers is silent to an idempotent request after other requests were answered
    Then the caller gets a complete answer in time
    And the request reached servers 2 times

  Scenario: A non-idempotent request at a silent server never runs again
    When one of two servers is silent to a non-idempotent request after other requests were answered
    Then the request reached servers 1 times

  Scenario: A resumable stream that pauses for too long continues at another server
    When a resumable stream pauses midway without end
    Then the caller gets every event once, in order, as a complete answer
    And the second server was asked to resume after the last event

  Scenario: A run ends when its caller disconnects
    When a caller disconnects while a server runs its request
    Then the run has ended soon after

  Scenario: A stream is forwarded completely
    When a caller asks for a stream
    Then the caller gets every event once, in order, as a complete answer

  Scenario: A resumable stream continues at another server
    When a resumable stream breaks midway
    Then the caller gets every event once, in order, as a complete answer
    And the second server was asked to resume after the last event

  # Guards against ending a partly sent answer because no slot is free to resume it.
  Scenario: A resumable stream whose server falls silent waits for a slot to continue
    When a resumable stream pauses midway, and its slot then goes to another request for 3 s
    Then both callers get every event once, in order, as complete answers

  Scenario: A stream that may not be resumed is cut off, and never looks complete
    When a stream that may not be resumed breaks midway
    Then the caller gets the first events and no end

  # Guards against the body of a failed run, appended to a partly sent answer that then looks complete.
  Scenario Outline: A resumable stream whose last allowed run fails is cut off, and never looks complete
    When a resumable stream breaks midway and each later run is answered with <status>
    Then the caller gets the first events and no end after 3 runs

    Examples:
      | status |
      | 500    |
      | 422    |

  Scenario: Malformed server entries do not affect valid ones
    When malformed server entries of every kind are written
    Then the caller gets a complete answer

  Scenario: A draining server gets no new request
    When one of two servers is draining
    Then only the other server gets requests

  Scenario: A newer configuration takes effect, an older or malformed one never does
    When a newer, an older and several malformed configurations are written
    Then the newer one stays in force

  Scenario: A node that stops completes running requests, then refuses others as not run
    When a node stops while a caller keeps its connection
    Then the running request gets its complete answer, and the connection then closes
    And later requests on open connections are refused as not run
    And the node exits within its grace period

  # Guards against a request that waits for a slot and loses its connection when the process ends.
  Scenario: A node that stops refuses requests that wait for a slot before it exits
    When a node stops while a request waits there for the only slot, which another node's run holds
    Then the waiting request is refused as not run
    And the node exits within its grace period

  Scenario: A node that the store refuses gets changes from its peers
    When the store refuses one of two nodes, and a route and a server are added
    Then the node serves the new route at the new server within 4 s

  Scenario: A request that keeps crashing servers is quarantined
    When the same request is sent again and again, and each server that runs it crashes
    Then it reaches at most 3 servers and is refused as quarantined, and other requests are served

  Scenario: Watches miss a change and are then cut
    When a configuration is written while watches report no changes, and the watches are cut
    Then the configuration is in force within 1 s, though watches still report no changes

  # Guards against an internal error of a node on digits in a server's or caller's field that int() rejects.
  Scenario: Fields whose digits are not a valid number are treated as absent
    When a stream's event id is a superscript two, and a request's remaining time has 5,000 digits
    Then the stream is forwarded unchanged, and the request is served
