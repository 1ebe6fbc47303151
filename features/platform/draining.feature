Feature: A backend server that says in an answer that it is draining gets no later request

  # Guards against: requests sent to a server whose own answer announced draining, because only the
  # store's entry was read.
  Scenario Outline: The answer to an online request announces draining
    When one of two servers announces draining in <answer> and 12 requests follow
    Then <outcome>
    And that server gets none of the requests that follow, and all are answered

    Examples:
      | answer                               | outcome                                    |
      | a success                            | the caller gets the server's own header    |
      | a failure that may not be repeated   | the caller gets the server's own header    |
      | a refusal as not run                 | the caller gets the other server's answer  |

  # Guards against: reading the draining header only at the end of a stream, though it is in the head.
  Scenario: The head of a stream announces draining before the stream ends
    When one of two servers announces draining at the head of a stream and 6 requests follow before its end
    Then the caller gets the server's own header
    And that server gets none of the requests that follow, and all are answered

  # Guards against: items placed at a server that announced draining in the answer to an earlier item.
  Scenario: The answer to a batch item announces draining
    When one of two servers announces draining in the answer to an item and more items follow
    Then that server gets none of the items that follow, and all are done

  # Guards against: slots on a draining server that an owner grants before it learns of the draining, to
  # a node without the store.
  Scenario: A node without the store learns of the draining before the owner does
    When a node without the store forwards a draining server's stream and asks the owner for slots
    Then that server gets none of the requests that follow, and all are answered
    And the owner got at most 2 slot requests for each request

  # Guards against: requests that other nodes send to the server until the store reports the draining.
  Scenario: The owner learns of the draining and grants other nodes no slots there
    When a node forwards a draining server's answer and 12 requests follow at another node
    Then that server gets none of the requests that follow, and all are answered

  # Guards against: a node without an owner that chooses servers by the store's entries alone.
  Scenario: A node without an owner learns of the draining
    When a node without an owner forwards a draining server's answer and 12 requests follow
    Then that server gets none of the requests that follow, and all are answered

  # Guards against: callers that wait for a slot until their deadline though no server accepts requests.
  Scenario: All servers of a service drain at once
    When both servers announce draining in answers and another request follows
    Then it is refused as not run within a quarter of its target, and no server gets it

  # Guards against: a server that gets no requests after a restart.
  Scenario: A new start under the same id gets requests again, a newer entry of the old start does not
    When a draining server writes its entry again, and then restarts under its id
    Then it gets no requests after the new entry, and gets requests after the restart

  # Guards against: a holder with a stale view, which reports an earlier start of the granted server.
  Scenario: A slot is released because of an earlier start of its server
    When a slot is released because an earlier start of its server is draining
    Then the pool keeps granting slots there until a release names the current start
