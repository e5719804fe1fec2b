Feature: A task that crashes the workers that start it is given up, and no other

  # A task that crashed each worker that started it was started again and again.
  @known_red
  Scenario Outline: a job whose tasks crash their workers fails after few crashes while <event>
    Given a fleet of 3 nodes and 8 hosts
    When 10 jobs and 2 jobs of one task that crashes its worker, <kind>, are submitted while <event>
    Then the crashing jobs are shown as failed within 40 seconds
    And no crashing task was started more than 5 times
    And all other jobs are completed within 25 seconds

    Examples:
      | event                                         | kind                |
      | nothing                                       | plain               |
      | nothing                                       | with copies allowed |
      | the leader is killed                          | plain               |
      | the leader gets SIGTERM and is started again  | with copies allowed |
      | the store does not answer for 3 seconds       | plain               |
      | all nodes are killed and started again        | plain               |
