Feature: A planned stop runs no item twice

  Scenario Outline: All VMs are restarted one after the other while a job runs
    Given a job of 900 items on 3 VMs and 3 engines, seed <seed>
    When each VM is restarted gracefully, one after the other
    Then every item has one result and was started once

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The VM list calls a VM leaving while its batch program runs on
    Given a job of 900 items on 3 VMs and 3 engines, seed 3
    When the VM list calls "vm-2" leaving and later live again
    Then every item has one result and was started once
    And "vm-2" started no item between 3 s after the list said so and its return
