Feature: A node outlives whatever its neighbours say

  The neighbours are the store and those who write to it, backend servers, callers and operators.
  What a node can't use is refused or passed over; everything else goes on.

  # Guards against: an entry of another writer in `servers` that ends every node, at each start.
  Scenario Outline: An entry of another writer whose <part> is no usable text or number
    When an entry whose <part> is <value> stands beside the entry of a sound server
    Then requests are served at each node, also at one that starts now
    And no node uses the entry

    Examples:
      | part    | value                                  |
      | service | "\udc80\udcff"                         |
      | zone    | "\ud800"                               |
      | address | "\udc80:80"                            |
      | address | "a..b:80"                              |
      | address | "127.0.0.1:٨٠"                         |
      | slots   | 1000000000000                          |
      | born    | 18446744073709551616                   |
      | name    | "i-1\r\nX-Other: 1"                    |
