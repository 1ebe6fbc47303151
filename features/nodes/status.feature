Feature: An operator sees the fleet in one table

  Scenario: Status aggregates the reports of all VMs
    Given 6 dispatchers that know each other, seed 21
    When a member holds slots beyond its share and "vm-2" is killed
    And the operator asks for the status over HTTP
    Then "vm-2" shows as dead and not ready, and the others as alive at revision 1
    And each backend server shows once, with a live owner
    And the borrowed slots show for the member that holds them
    And the tables name each VM, member and backend server

  Scenario: A VM's report requires the shared secret
    Given 6 dispatchers that know each other, seed 22
    When a client without the shared secret requests the report of "vm-1"
    Then the client is refused with "invalid_key"

  Scenario: Unfinished jobs show with their progress, the earliest due first
    Given a fleet of 3 VMs and 3 engines
    When two jobs run and the operator asks for the jobs
    Then both jobs show, the earlier due first, and neither has more items done than it has
