Feature: Only healthy backend servers get new work

  Scenario Outline: A leaving server gets no new work after 3 s, and its streams finish
    Given steady requests on 3 engines, with long streams on "bs-1"
    When "bs-1" leaves by <signal> at 5 s
    Then "bs-1" was sent nothing between 8 s and the end
    And every answer of the steady load is complete

    Examples:
      | signal                |
      | its draining answer   |
      | inventory removal     |
      | the VM list           |

  Scenario: A server that refused connections gets work again once it accepts them
    Given steady requests on 3 engines, with long streams on "bs-1"
    When "bs-1" is down from 5 s to 15 s
    Then "bs-1" was sent nothing between 8 s and 15 s
    And "bs-1" was sent work between 20 s and the end

  Scenario: A server that fails its completions is ejected and tried again
    Given steady requests on 3 engines, with long streams on "bs-1"
    When "bs-1" fails completions from 5 s to 15 s
    Then "bs-1" was sent nothing between 9 s and 14 s
    And "bs-1" was sent work between 26 s and the end
    And every answer of the steady load is complete

  Scenario: A server far slower than its target is ejected
    Given steady requests on 3 engines, with long streams on "bs-1"
    When "bs-1" is 12 times slower from 5 s to 30 s
    Then "bs-1" was sent at most 10 requests between 12 s and 29 s

  Scenario: A server with another model or version gets no work for the service
    Given steady requests on 3 engines, with long streams on "bs-1"
    When "bs-1" has another version from 5 s to 30 s
    Then "bs-1" was sent nothing between 8 s and the end

  Scenario: Ejection never removes more than a third of a service
    When all of 9 engines owned by 3 VMs fail for 20 s
    Then at most 3 servers were ejected at once in every view

  Scenario: A later rumor overrides an older one
    When a later rumor says draining and an older one says ready
    Then the server is draining
