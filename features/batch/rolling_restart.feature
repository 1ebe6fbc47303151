Feature: A planned stop runs no item twice

  Scenario Outline: All VMs are restarted one after the other while a job runs
    Given a job of 900 items on 3 VMs and 3 engines, seed <seed>
    When each VM is restarted gracefully, one after the other
    Then every item has one result and was started once

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The VM list marks a VM as leaving while its batch program keeps running
    Given a job of 900 items on 3 VMs and 3 engines, seed 3
    When the VM list marks "vm-2" as leaving and later as live again
    Then every item has one result and was started once
    And "vm-2" started no item between 3 s after the list marked it and its return
