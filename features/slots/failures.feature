Feature: Slots through failures: no stream is cut, no slot is lost or granted twice

  Background:
    Given one engine of 4 slots owned by vm-1, with 4 streams and 4 waiting requests of vm-2

  Scenario: The owner's VM is lost
    When the owner's VM is lost and removed from the VM list
    Then all 8 answers are complete and no stream was started twice
    And the engine never ran more than 4 streams

  Scenario: The owner leaves and another takes over
    When the VM list says that the owner's VM is leaving
    Then all 8 answers are complete and no stream was started twice
    And the engine never ran more than 4 streams
    And the next owner granted a slot within 2 s

  Scenario: The owner freezes and wakes
    When the owner freezes for 6 s
    Then all 8 answers are complete and no stream was started twice
    And the engine never ran more than 4 streams
    And waiting requests were refused with not_run within 4 s
    And no owner counts a slot as held at the end

  Scenario: Messages to the owner are lost
    When messages from vm-2 to the owner are lost for 8 s
    Then all 8 answers are complete and no stream was started twice
    And the engine never ran more than 4 streams
    And no owner counts a slot as held at the end

  Scenario: Messages from the owner are lost
    When messages from the owner to vm-2 are lost for 8 s
    Then all 8 answers are complete and no stream was started twice
    And the engine never ran more than 4 streams
    And no owner counts a slot as held at the end

  Scenario: The holder's VM is lost
    When the holder's VM is lost
    Then the owner frees the holder's slots after the lease expires, within 5 s

  Scenario: The holder freezes and wakes
    When the holder freezes for 7 s
    Then the owner frees the holder's slots after the lease expires, within 5 s
    And all 8 answers are complete and no stream was started twice
    And no owner counts a slot as held at the end

  Scenario: The connection to the owner breaks while streams run
    When the connections of vm-2 to the owner break
    Then all 8 answers are complete and no stream was started twice
    And the engine never ran more than 4 streams

  Scenario: Two dispatchers believe that they own the engine
    When vm-1 alone does not learn that vm-2 owns the engine, while both VMs ask for 8 streams
    Then every answer of both VMs is complete
    And the engine never ran more than 8 streams
    And the engine ran at most 4 streams from 3 s after those granted by vm-1 should have ended

  Scenario: Callers cancel at any time around the grant
    When 60 callers cancel between 0 and 6 ms after their request
    Then no owner counts a slot as held 0.5 s later
