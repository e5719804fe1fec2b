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

  Scenario Outline: a request is routed by <by> if the own version <own> is <age> s old and <situation>
    Given a node with version <own>, confirmed <age> s ago, and "<situation>"
    Then a request is routed by "<by>"

    Examples: the time in which a configuration has to be in force is 2 s
      | own | age | situation                             | by          |
      | 5   | 0.1 | the leader has version 6              | own         |
      | 5   | 1.7 | the leader has version 6              | own         |
      | 5   | 1.9 | the leader has version 6              | leader      |
      | 5   | 1.9 | the leader has version 5              | leader      |
      | 5   | 1.9 | the leader has version 4              | nothing     |
      | 5   | 1.9 | the leader may be outdated as well    | nothing     |
      | 5   | 9.0 | no leader answers                     | nothing     |
      | 5   | 9.0 | the store confirms it at once         | own         |
      | 5   | 9.0 | the store is lost                     | unconfirmed |
      | 5   | 9.0 | the store is lost, the queue unknown  | nothing     |
      | 5   | 0.1 | version 6 was used before             | nothing     |
      | 5   | 0.1 | version 6 was used, the store is lost | nothing     |

  Scenario: nodes whose watches have stalled go on to accept jobs
    Given a fleet of 2 nodes and 2 hosts
    When the watches of all nodes stall
    Then every node accepts jobs for 6 seconds

  Scenario: a configuration that changes while all watches are stalled is in force in time
    Given a fleet of 3 nodes and 2 hosts
    When the watches of all nodes stall
    And 3 versions of 10 KB, one each 3.5 s, drop and add queues
    Then no node handles a request by a version superseded for over 3 seconds
    And every node handles requests by the newest version within 15 seconds
