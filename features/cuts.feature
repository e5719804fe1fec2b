Feature: Each data centre keeps serving what it can during network cuts

  Scenario Outline: <cut>
    Given a cluster of kapu behind the fault proxy
    When <cut> for 6 seconds under load, and a change is committed meanwhile
    Then at least <percent> percent were answered in time
    And no caller got a wrong or cut answer
    And every failure's outcome agrees with the servers' run counts
    And no request that may run only once ran twice
    And within 7 seconds of healing one generation is in force on every entry host

    Examples:
      | cut                                                     | percent |
      | "pecs" is cut from the other data centres               | 99      |
      | "pecs" is cut from the platform                         | 99      |
      | "pecs" is cut from everything                           | 99      |
      | all entry hosts are cut from the platform               | 99      |
      | "entry-1" is cut from everything                        | 97      |
      | "entry-1" is cut one way from everything                | 97      |
