Feature: A backend server that says in an answer that it is draining gets no later request

  # Guards against: requests sent to a server whose own answer said that it is draining, because only
  # the store's entry was read.
  Scenario Outline: The answer to an online request says so
    When one of two servers says so in <answer> and 12 requests follow
    Then <passed on>
    And that server gets none of the requests that follow, and all are answered

    Examples:
      | answer                               | passed on                                  |
      | a success                            | the caller gets the server's own header    |
      | a failure that may not be repeated   | the caller gets the server's own header    |
      | a refusal that says it has not run   | the caller gets the other server's answer  |

  # Guards against: reading the draining header only at the end of a stream, though it is in the head.
  Scenario: The head of a stream says so while the stream goes on
    When one of two servers says so at the head of a stream and 6 requests follow before its end
    Then the caller gets the server's own header
    And that server gets none of the requests that follow, and all are answered

  # Guards against: items placed at a server that said so in the answer to an earlier item.
  Scenario: The answer to an item says so
    When one of two servers says so in the answer to an item and more items follow
    Then that server gets none of the items that follow, and all are done

  # Guards against: slots there that an owner grants before it learns of it, on a node without the store.
  Scenario: A node that the store turns away, and an owner that has not heard of it
    When a node without the store passes such a stream on and asks its owner for more slots
    Then that server gets none of the requests that follow, and all are answered
    And the owner was asked for no more than 2 slots a request

  # Guards against: requests that other nodes send there until the store reports it.
  Scenario: The owner learns it and grants no slot there to other nodes
    When a node passes such an answer on and 12 requests follow at another node
    Then that server gets none of the requests that follow, and all are answered

  # Guards against: servers chosen without an owner from the store's entry alone.
  Scenario: A node that has no owner to ask
    When a node without an owner passes such an answer on and 12 requests follow
    Then that server gets none of the requests that follow, and all are answered

  # Guards against: callers that wait for a slot until their deadline though no server accepts requests.
  Scenario: All servers of a service leave at once
    When both servers say so in answers and another request follows
    Then it is refused as not run within a quarter of its target, and no server gets it

  # Guards against: a server that gets no requests after a restart.
  Scenario: A new start under the same id gets requests again, a newer entry of the old start does not
    When a server that said so writes its entry again, and then starts anew under its id
    Then it gets none after the first and requests again after the second

  # Guards against: a holder with a stale view, which reports an earlier start of the granted server.
  Scenario: A slot given back for another start of the server
    When a slot is given back because an earlier start of its server is draining
    Then the pool goes on granting slots there, until the present start is named
