Feature: The budget closes the connections that hold most without progress, and no others

  # Guards against: slow callers that are timed out though nobody needs the room.
  Scenario: While there is room
    Given a budget of 1,000,000 bytes and 3 connections
    When a stalled body holds 700,000 bytes
    Then no connection is closed

  # Guards against: ordinary callers that are closed in place of those that fill the memory.
  Scenario: Without room
    Given a budget of 1,000,000 bytes and 3 connections
    When a stalled body holds 700,000 bytes
    And a stalled body holds 400,000 bytes
    And a running request holds 900,000 bytes
    Then the connections closed held 700,000 and 400,000 bytes

  # Guards against: a connection that serves requests being closed for ones that send none.
  Scenario: With too many connections
    Given a budget of 1,000,000 bytes and 3 connections
    When 1 connection has been answered and 4 others send nothing
    Then the first of the others and the second are closed

  # Guards against: a node that takes no request, or uses up descriptors, on the machines that users have.
  Scenario Outline: A machine of <memory> MB and <descriptors> descriptors
    Then callers may use <mib> MiB and <connections> connections

    Examples:
      | memory | descriptors | mib | connections |
      | 0      | 0           | 256 | 4096        |
      | 128    | 1638        | 16  | 512         |
      | 160    | 1638        | 30  | 819         |
      | 552    | 10250       | 217 | 4096        |
