Feature: The build leaves libraries that the programs can load on this machine

  # Guards against: a system that doesn't start, as its libraries were built for another kind of machine,
  # or as an earlier build was broken off.
  Scenario Outline: Libraries of an earlier build
    When the system is built where the libraries of an earlier build are <state>
    Then the libraries are installed <times> times, and none of the earlier ones is left: <is_new>

    Examples:
      | state                  | times | is_new |
      | missing                | 1     | yes    |
      | loadable               | 0     | no     |
      | not loadable           | 1     | yes    |
      | older than their list  | 1     | yes    |
