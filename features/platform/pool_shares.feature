Feature: Fair shares of workspaces where the slots of a pool are scarce

  # Guards against callers of all workspaces that wait because one sends many times its usual rate.
  Scenario: A workspace at seven times its rate in a peak while a sixth of the servers is down
    When one of 73 workspaces sends 7 times its rate and 7 of 45 servers are down
    Then 95 in 100 requests of the others get their slots early enough for an answer in time
    And no request of the others is refused
    And requests of that workspace are still served

  # Guards against a changed order where nothing competes.
  Scenario: One workspace, or none
    When requests of one workspace, or of none, wait with random priorities and times
    Then their order is by priority, lateness class and latest start

  # Guards against lower priorities that get no slot while higher ones would fill the pool.
  Scenario: A workspace of a higher priority that would take all slots
    When a workspace of priority 0 always has requests waiting and one of priority 1 as well
    Then the latter gets one slot in 16

  # Guards against a workspace that is refused because another one fills the queue.
  Scenario: A request arrives at a queue that another workspace has filled
    When a workspace fills the queue and another one sends a request
    Then the newest request of the first is refused, and that of the other waits

  # Guards against a caller that is kept waiting, or refused, in place of the one that sends too much.
  Scenario: One workspace sends more than can be served by the deadlines
    When a workspace sends 400 requests at once to a pool of 8 slots and another sends 4 after them
    Then about as many of its requests as can't be served in time are refused, the newest first
    And all 4 of the other are served before the rest of the first

  # Guards against a large workspace at its usual rate that counts as over its share.
  Scenario Outline: Weights of workspaces
    When workspaces have limits of <limits> requests a second
    Then their weights are <weights>

    Examples:
      | limits  | weights       |
      | 6, 2, 1 | 6, 3, 3       |
      | 0, 4, 2 | 3, 4, 3       |
      | 0, 0    | equal         |
