Feature: Maintenance by editing the pools table, with real processes

  Scenario Outline: a wave under load while <trouble>
    Given a running cluster of <user>
    When the release of every pool is edited under load while "<trouble>"
    Then every host runs the new release within 120 seconds
    And no caller got a wrong or cut answer
    And every failure's outcome agrees with the servers' run counts
    And no request that may run only once ran twice
    And at least 99 percent were answered in time
    And status shows the release done in every pool

    Examples:
      | user | trouble                   |
      | kapu | nothing fails             |
      | kapu | the planner's host dies   |

  Scenario: an edited pools table moves a host, drained before it changes pools
    Given a running cluster of kapu
    When the pools table moves the host "clips-pecs-1" to "jury" under load
    Then "clips-pecs-1" serves "jury" within 60 seconds
    And it never ran work of both pools at once
    And no caller got a wrong or cut answer
    And at least 99 percent were answered in time

  Scenario: an unreachable but listed entry host delays a move
    Given a running cluster of kapu
    And the entry of "entry-4" is killed while the list still shows its host
    When the pools table moves the host "clips-pecs-1" to "jury" under load
    Then "clips-pecs-1" still belongs to "clips" after 10 seconds
    And once the entry of "entry-4" is back it serves "jury" within 60 seconds

  Scenario: load above a pool's capacity moves no host
    Given a running cluster of kapu
    When the pool "clips" gets twice its capacity for 8 seconds
    Then some of its requests were refused as not run
    And no host was moved and every host still serves
