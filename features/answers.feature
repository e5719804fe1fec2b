Feature: Every caller gets the whole answer to its own request

  Scenario Outline: late, crossed and truncated answers are never passed on
    Given a running cluster of <user>
    And every backend server answers with these faults
      | late | late_s | crossed | truncated | dropped | seed   |
      | 0.02 | 3.0    | 0.02    | 0.02      | 0.01    | <seed> |
    When <count> requests are sent with seed <seed>
    Then no caller got a wrong or cut answer
    And every failure's outcome agrees with the servers' run counts
    And no request that may run only once ran twice
    And at least 80 percent were answered in time

    Examples:
      | user | count | seed |
      | kapu | 10000 | 11   |

  Scenario Outline: a planned stop cuts off no request
    Given a running cluster of kapu
    When <count> requests are sent with seed <seed> while <entries> get SIGTERM
    Then those entries exit with status 0
    And no caller got a wrong or cut answer
    And every failure's outcome agrees with the servers' run counts
    And no request that may run only once ran twice
    And at least 99 percent were answered in time

    Examples:
      | count | seed | entries          |
      | 1500  | 5    | entry-2          |
      | 1500  | 6    | entry-1, entry-5 |

  Scenario: a stopping entry answers on open connections after it has closed its port
    Given a running cluster of kapu
    And an open connection to "entry-2"
    When "entry-2" gets SIGTERM under requests until it refuses new connections
    Then a request on the open connection is answered, and the connection ends after it
    And those entries exit with status 0

  Scenario Outline: a leaving backend server gets no new work after 3 seconds
    Given a running cluster of kapu
    When the host "<host>" is shown as leaving by "<source>" under load
    Then it got no new work after 3 seconds
    And no caller got a wrong or cut answer
    And at least 99 percent were answered in time

    Examples:
      | host          | source      |
      | jury-szeged-1 | the list    |
      | clips-pecs-2  | its answers |
