Feature: A task starts again only when its earlier run has surely ended

  Scenario Outline: a run forgotten after <event> is logged with the proof "<proof>"
    Given a job of one task that may fail 2 times
    And its decisions are recorded
    When this happens to its run: "<event>"
    Then its run is logged as forgotten with the proof "<proof>"

    Examples:
      | event                                                   | proof                    |
      | a list without it, requested after the start answer     | absent from a later list |
      | no start answer, and a list after the start's deadline  | absent from a later list |
      | worker silence until the lease has lapsed               | lease lapsed             |
      | a restart of its worker                                 | worker restarted         |
      | worker silence while the lease is valid                 |                          |
      | a report that it is done                                |                          |

  Scenario: a second run of a task is reported
    Given a job of one task that may fail 2 times
    When a second worker lists a run of the task
    Then one second run is reported
