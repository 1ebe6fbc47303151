Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: A new revision is in force on <vms> VMs within 5 s
    Given a fleet of <vms> dispatchers at revision 1, seed <seed>
    And <loss> % lost datagrams
    When an operator applies a new share
    Then revision 2 is in force on all VMs within 5 s

    Examples:
      | vms | loss | seed |
      | 6   | 0    | 1    |
      | 9   | 10   | 2    |

  Scenario: A VM that heartbeats can't reach gets the revision from the store
    Given a fleet of 6 dispatchers at revision 1, seed 3
    When "zone-2" is cut off and an operator applies a new share
    Then revision 2 is in force on all VMs within 5 s

  Scenario: An idle fleet rarely calls the Object API
    Given a fleet of 9 dispatchers at revision 1, seed 4
    When nothing happens for 120 s
    Then the dispatchers made at most 1 Object API call per VM and second
    And at most 2 dispatchers watched the head

  Scenario: A VM that starts during an outage of the store gets the configuration from peers
    Given a fleet of 6 dispatchers at revision 1, seed 5
    When an operator applies a new share
    And the store goes down and "vm-2" restarts
    Then "vm-2" and its local programs are ready within 5 s, and never below revision 2

  Scenario: A VM that starts while neither store nor peers answer isn't ready
    Given a fleet of 6 dispatchers at revision 1, seed 6
    When the store goes down and "vm-2" restarts, cut off from all others
    Then "vm-2" isn't ready for 30 s

  Scenario: A VM that starts while its peers are behind uses the store's revision
    Given a fleet of 3 dispatchers at revision 1, seed 7
    When the peers miss a new share, the store is slow and "vm-2" restarts
    Then "vm-2" and its local programs are ready within 5 s, and never below revision 2

  Scenario: Restarts, an outage and a partitioned zone never make a VM's revision go back
    Given a fleet of 6 dispatchers at revision 1, seed 8
    When 4 revisions are applied while VMs restart, the store goes down and "zone-3" is cut off
    Then no VM was ever ready with a lower revision than before
    And the last revision is in force on all VMs

  Scenario Outline: An apply whose <fault> is recognised as done
    Given a store at revision 1
    When an operator applies a new share and the <fault>
    Then exactly one new revision was made

    Examples:
      | fault                               |
      | answer is lost half of the time     |
      | write takes effect after its answer |

  Scenario: An apply that is repeated makes no second revision
    Given a store at revision 1
    When an operator applies the same new share twice
    Then exactly one new revision was made

  Scenario: Of two operators who apply at once, one gets a clear conflict
    Given a store at revision 1
    When two operators who saw revision 1 apply different shares at once
    Then one is accepted and the other gets a conflict with the difference

  Scenario: An operator who saw an old revision is refused
    Given a store at revision 1
    When an operator applies the same new share twice
    And an operator who still saw revision 1 applies another share
    Then that operator gets a conflict, and revision 2 stays in force

  Scenario: A document over the Object API's limit is stored in parts
    Given a store at revision 1
    When an operator applies an inventory of 12000 backend servers
    Then the store returns the complete inventory
    And each stored object is under the Object API's limit

  Scenario: A change of one member writes only its document
    Given a store at revision 1
    When an operator applies an inventory of 100 members, then changes one member
    Then the change took at most 4 writes

  Scenario: Documents too large for peers to send are refused
    Given a store at revision 1
    When an operator applies an inventory of 40000 backend servers
    Then it is refused with "config_too_large" and the head stays at revision 1

  Scenario: A rollback is a new revision, and the history is bounded
    Given a store at revision 1
    When 60 revisions are applied and revision 20 is rolled back to
    Then revision 62 has the documents of revision 20
    And the history has 50 revisions, and the store has no other manifest

  Scenario: Waiting for an apply names the VMs where it is not in force
    Given a fleet of 6 dispatchers at revision 1, seed 9
    When "vm-4" is frozen and an operator applies a new share and waits
    Then the operator gets "vm-4" as the only VM behind

  Scenario: An operator who waits is notified when the revision is in force
    Given a fleet of 6 dispatchers at revision 1, seed 10
    When an operator applies a new share and waits
    Then the operator is notified within 5 s that no VM is behind

  Scenario Outline: A wrong document is refused with file, line and field: <fault>
    When an operator checks documents with <fault>
    Then the check says "<problem>"

    Examples:
      | fault                        | problem                                                                 |
      | an unknown model             | inventory.yaml:6: services.0.model: no model 'reads'                    |
      | an unknown service           | inventory.yaml:14: backend_servers.0.service: no service 'reed-disk'    |
      | a duplicate server id        | inventory.yaml:20: backend_servers.1.id: 'bs-1' is a duplicate id       |
      | a model service without model | inventory.yaml:3: services.0: a service of kind model needs a model     |
      | an unknown field             | inventory.yaml:2: servers: unknown field                                |
      | a duplicate key              | inventory.yaml:2: members: duplicate key                                |
      | an unknown member            | rules.yaml:3: shares.0.member: no member 'nobody'                       |
      | shares over 100 %            | rules.yaml:4: shares.1.percent: the shares add up to over 100 %         |
      | a second share               | rules.yaml:5: shares.1.member: 'cyweirio' has a share already           |
      | an unknown priority member   | rules.yaml:1: priority_member: no member 'nobody'                       |
      | a negative share             | rules.yaml:3: shares.0.percent: -1 is less than the minimum of 0        |
      | no rules                     | rules.yaml:1: document: expected object, found None                     |

  Scenario: The inventory can be a folder with a file for each member
    Given a folder with the inventories of two members, one of which names an unknown model
    When the operator checks it with the command line
    Then the command ends with 2 and names the member's file, line and field
    And a missing file is named as well

  Scenario: A gateway parses only the changed document
    Given a fleet of 3 VMs and 3 engines
    When the rules change while the gateways run
    Then each gateway has the new rules and the inventory that it had parsed before
