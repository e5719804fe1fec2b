Feature: A flood leaves the other work its share

  Scenario Outline: a flood at 10 times the capacity by <class>
    Given a cluster of kapu with the flood tables
    And the classes were measured without a flood
    When the class "<class>" floods at 10 times the capacity
    Then every other class keeps at least 95 percent
    And the flooding class still gets its guaranteed share
    And no caller got a wrong or cut answer in the flood

    Examples:
      | class  |
      | export |
      | enter  |
      | read   |
