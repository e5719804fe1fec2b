Feature: Budgets hold through failures, waves and moves

  Scenario Outline: a wave with <trouble>
    Given a fleet of <hosts> hosts a pool and data centre in <pools> pools with seed <seed>
    When every pool gets a new release while "<trouble>" happens
    Then every host runs it within <max_s> seconds
    And the planners' own decisions exceeded no budget
    And no host was used for two pools at once

    Examples:
      | hosts | pools | seed | trouble                | max_s   |
      | 2     | 5     | 1    | nothing                | 432     |
      | 2     | 5     | 2    | random failures        | 3000    |
      | 2     | 5     | 3    | lost platform answers  | 3000    |
      | 2     | 5     | 4    | managers dying in turn | 3000    |
      | 2     | 5     | 5    | planners pausing       | 3000    |
      | 2     | 5     | 6    | a data centre cut off  | 3000    |
      | 2     | 5     | 7    | an entry host silent   | 3000    |
      | 2     | 5     | 8    | everything             | 6000    |
      | 2     | 5     | 9    | everything             | 6000    |
      | 2     | 5     | 10   | everything             | 6000    |
      | 2     | 5     | 11   | everything             | 6000    |
      | 2     | 5     | 12   | everything             | 6000    |
      | 2     | 5     | 13   | everything             | 6000    |

  Scenario: a wave at 950 hosts a data centre
    Given one data centre of 950 hosts in 50 pools with a budget of 4 and seed 1
    When every pool gets a new release while "nothing" happens
    Then every host runs it within 720 seconds
    And the planners' own decisions exceeded no budget

  Scenario Outline: a planner that was paused writes nothing
    Given a fleet of 2 hosts a pool and data centre in 5 pools with seed <seed>
    And every pool got a new release <seconds> seconds ago
    When the planner of "north" is paused for <pause> seconds
    Then another manager plans within 5 seconds
    And the paused planner wrote nothing after it resumed

    Examples:
      | seed | seconds | pause |
      | 1    | 5       | 12    |
      | 2    | 40      | 12    |
      | 3    | 60      | 30    |

  Scenario Outline: failed and vanished hosts, <event>
    Given a fleet of 2 hosts a pool and data centre in 5 pools with seed <seed>
    When <event> for <seconds> seconds
    Then <outcome>
    And the planners' own decisions exceeded no budget
    And no host was used for two pools at once

    Examples:
      | seed | event                          | seconds | outcome                                                                |
      | 1    | a rack fails                   | 2000    | at most 4 hosts were moved                                             |
      | 2    | a rack fails                   | 2000    | every pool has as many serving hosts as configured                     |
      | 3    | a host fails                   | 120     | 0 hosts were moved                                                     |
      | 4    | all hosts vanish from the list | 20      | every host still counts as serving                                     |
      | 5    | all hosts vanish from the list | 20      | a wave started meanwhile takes out no host until they are listed again |

  Scenario Outline: an edited pools table moves a host
    Given a fleet whose entry hosts apply changes up to 12 seconds late, seed <seed>
    When the pools table moves "pool-0-north-0" to "pool-1"
    Then the host "pool-0-north-0" serves "pool-1" within 120 seconds, after a drain
    And no host was used for two pools at once
    And the planners' own decisions exceeded no budget

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: a rack that holds several hosts of a pool loses one at a time
    Given a fleet of 2 pools with 2 hosts each in every rack, a budget of 3 and 1 a rack, seed 1
    When every pool gets a new release while "nothing" happens
    Then every host runs it within 1000 seconds
    And the planners' own decisions exceeded no budget

  Scenario: maintenance pauses at a high burn rate and outside its window
    Given a fleet of 2 hosts a pool and data centre in 5 pools with seed 1
    Then a pool with a high burn rate chooses no batch
    And a pool outside its window chooses no batch
