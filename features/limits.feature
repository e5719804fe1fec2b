Feature: Limits on a backend server's slots and connections hold over all entry hosts

  Scenario Outline: limits hold under overload with <trouble>
    Given a cluster of kapu with the flood tables
    When the pool "forms" is overloaded for 10 seconds with "<trouble>"
    Then no backend server had more than 8 busy slots or refused a request
    And no backend server had more than 64 connections
    And the pool ran at least 80 percent of the requests that its slots allow
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
    And the other hosts of its pool ran requests

    Examples:
      | fails                                        |
      | fails at once                                |
      | truncates all answers after the service time |
      | drops all answers                            |

  Scenario Outline: a server's health follows its attempts
    Given a healthy server of 8 slots in a pool whose budget <budget>
    When its attempts are "<attempts>"
    Then it may have <allowed> requests at a time
    And after <seconds> more seconds it may have <later>

    Examples:
      | budget              | attempts                     | allowed | seconds | later |
      | allows an ejection  | 4 failed                     | 1       | 0       | 1     |
      | allows an ejection  | 5 failed                     | 0       | 1.1     | 1     |
      | allows no ejection  | 9 failed                     | 1       | 60      | 1     |
      | allows an ejection  | 5 failed, 1.1 s, 1 failed    | 0       | 1.1     | 0     |
      | allows an ejection  | 5 failed, 1.1 s, 3 succeeded | 8       | 0       | 8     |
      | allows an ejection  | 40 succeeded                 | 8       | 0       | 8     |
      | allows an ejection  | 40 slow                      | 3       | 0       | 3     |
