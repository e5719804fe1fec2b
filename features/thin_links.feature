Feature: A configuration is in force in time on hosts behind thin links

  # A transfer was cut by its own time limit, and a second one shared its link.
  Scenario Outline: no request is handled by an outdated configuration: <versions> versions of <kb> KB, one each <gap> s, over <mbps> Mbit/s
    Given a fleet of 3 nodes and 2 hosts, 2 nodes behind links of <mbps> Mbit/s
    When <versions> versions of <kb> KB, one each <gap> s, drop and add queues
    Then no node handles a request by a version superseded for over 3 seconds
    And every node handles requests by the newest version within 15 seconds

    Examples:
      | mbps | kb   | versions | gap  |
      | 5    | 1134 | 1        | 0    |
      | 5    | 1134 | 2        | 3.5  |
      | 5    | 390  | 12       | 0.33 |

    Examples: faster than the link can carry them
      | mbps | kb   | versions | gap  |
      | 5    | 1134 | 12       | 0.33 |
