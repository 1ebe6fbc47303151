Feature: Dispatchers detect a failed VM within seconds and don't declare a healthy one dead

  Scenario Outline: A fleet of <vms> VMs detects a VM that was <fault>
    Given <vms> dispatchers that know each other, seed <seed>
    When the dispatcher of "vm-2" is <fault>
    Then the others count "vm-2" as dead within 5 s
    And no other VM was counted as dead
    And the others agree on new owners of all backend servers

    Examples:
      | vms | fault                     | seed |
      | 6   | killed                    | 1    |
      | 9   | killed                    | 2    |
      | 6   | frozen                    | 1    |
      | 9   | frozen                    | 2    |
      | 6   | cut off in both directions | 1   |
      | 6   | unable to send            | 1    |
      | 6   | unable to receive         | 1    |

  Scenario: A whole availability zone is lost
    Given 9 dispatchers that know each other, seed 3
    When all dispatchers of "zone-2" are killed
    Then the others count all VMs of "zone-2" as dead within 5 s
    And no other VM was counted as dead
    And the others agree on new owners of all backend servers

  Scenario: An availability zone is cut off for a minute and comes back
    Given 9 dispatchers that know each other, seed 4
    When "zone-2" is cut off for 60 s
    Then 20 s after that each VM counts all VMs as alive
    And all VMs agree on the owners of all backend servers

  Scenario: A VM that resumes after a freeze doesn't make healthy VMs suspect
    Given 6 dispatchers that know each other, seed 5
    When "vm-2" is frozen for 20 s
    Then no other VM was counted as dead by a VM without the fault
    And 20 s after that each VM counts all VMs as alive

  Scenario Outline: Healthy VMs stay alive while <loss> % of the datagrams are lost
    Given 9 dispatchers that know each other, seed <seed>
    When <loss> % of the datagrams are lost for 120 s
    Then no VM was counted as dead

    Examples:
      | loss | seed |
      | 5    | 6    |
      | 10   | 7    |

  Scenario Outline: One slow VM doesn't make healthy VMs suspect
    Given 9 dispatchers that know each other, seed 8
    When each message from and to "vm-2" takes <delay> ms longer for 120 s
    Then no other VM was counted as dead by a VM without the fault
    And "vm-2" was counted as dead at most <deaths> times by each VM

    Examples:
      | delay | deaths |
      | 400   | 0      |
      | 3000  | 4      |

  Scenario: A link that is cut in one direction makes neither of its VMs dead
    Given 6 dispatchers that know each other, seed 9
    When messages from "vm-2" to "vm-3" are lost for 60 s
    Then no VM was counted as dead

  Scenario: A new VM at the address of a dead one isn't mistaken for it
    Given 6 dispatchers that know each other, seed 10
    When "vm-2" is killed and "vm-9" starts at its address
    Then the others count "vm-2" as dead within 5 s
    And the others count "vm-9" as alive once the VM list names it

  Scenario: A VM that restarts at once is alive in its new incarnation
    Given 6 dispatchers that know each other, seed 11
    When the dispatcher of "vm-2" restarts after 1 s
    Then 5 s after that each VM counts all VMs as alive
    And the others know the new incarnation of "vm-2"

  Scenario Outline: A VM that left and restarts at once doesn't adopt its old leaving state
    Given <vms> dispatchers that know each other, seed 17
    When the dispatcher of "vm-2" loses its batch program 20 times, drains, is down for <down> ms and starts again
    Then 5 s after that each VM counts all VMs as alive

    Examples:
      | vms | down |
      | 2   | 0    |
      | 2   | 1000 |
      | 6   | 0    |
      | 6   | 500  |

  Scenario: An outage of the VM list changes nothing
    Given 6 dispatchers that know each other, seed 12
    When the VM list is down for 120 s and "vm-2" is killed meanwhile
    Then the others count "vm-2" as dead within 5 s
    And no other VM was counted as dead

  Scenario: A VM that leaves loses its backend servers at once
    Given 6 dispatchers that know each other, seed 13
    When the dispatcher of "vm-2" announces that it is leaving
    Then the others count "vm-2" as leaving within 1 s
    And the others agree on new owners of all backend servers

  Scenario: A VM that the VM list marks as leaving is leaving everywhere
    Given 6 dispatchers that know each other, seed 14
    When the VM list marks "vm-2" as leaving
    Then all count "vm-2" as leaving within 3 s of the list

  Scenario: Datagrams without the shared secret are dropped and counted
    Given 6 dispatchers that know each other, seed 15
    When a host without the shared secret reports all VMs as dead
    Then no VM was counted as dead
    And the forged datagrams were counted

  Scenario: Rumors reach all dispatchers, and the latest observation wins
    Given 9 dispatchers that know each other, seed 16
    When 10 % of the datagrams are lost and a rumor on "bs-1" is followed by an older one
    Then all dispatchers know the later rumor on "bs-1" within 5 s
    And a dispatcher that starts afterwards knows it too

  Scenario: Rumors published on either side of a partition reach all VMs after it
    Given 9 dispatchers that know each other, seed 17
    When "zone-2" is cut off for 60 s, and each side publishes a rumor on another backend server meanwhile
    Then 30 s after that all dispatchers know both rumors
