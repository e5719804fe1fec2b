Feature: Slots and connections of a backend server hold over all entry hosts

  Scenario Outline: limits hold under overload through <trouble>
    Given a cluster of kapu with the flood tables
    When the pool "forms" is overloaded for 10 seconds through "<trouble>"
    Then no backend server had more than 8 busy slots or refused a request
    And no backend server had more than 64 connections
    And the pool did at least 80 percent of what its slots allow
    And no caller got a wrong or cut answer except from the killed entry host

    Examples:
      | trouble        |
      | nothing        |
      | an entry kill  |
      | a paused entry |
      | an entry stop  |

  Scenario Outline: a backend server that fails everything is ejected
    Given a running cluster of kapu
    When the host "forms-pecs-1" <fails> under load for 8 seconds
    Then under 2 percent of the requests fail after the first 2 seconds
    And the others of its pool still serve

    Examples:
      | fails             |
      | fails at once     |
      | fails slowly      |
      | drops all answers |

  Scenario Outline: a server's health follows its attempts
    Given a healthy server of 8 slots in a pool whose budget <budget>
    When its attempts are "<attempts>"
    Then it may have <allowed> requests at a time
    And after <seconds> more seconds it may have <later>

    Examples:
      | budget          | attempts                     | allowed | seconds | later |
      | bears ejections | 4 failed                     | 1       | 0       | 1     |
      | bears ejections | 5 failed                     | 0       | 1.1     | 1     |
      | bears none      | 9 failed                     | 1       | 60      | 1     |
      | bears ejections | 5 failed, 1.1 s, 1 failed    | 0       | 1.1     | 0     |
      | bears ejections | 5 failed, 1.1 s, 3 whole     | 8       | 0       | 8     |
      | bears ejections | 40 whole                     | 8       | 0       | 8     |
      | bears ejections | 40 slow                      | 3       | 0       | 3     |
