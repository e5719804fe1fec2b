Feature: What is counted of a job is what has happened to it

  Scenario Outline: the next leader knows the <what> of a <kind> job's task
    Given a "<kind>" job whose task has <what> stored
    When the next leader loads the job
    Then it knows the <what> of the task

    Examples: attempts of a scheduled job were counted anew after each change of leader
      | what     | kind      |
      | failures | plain     |
      | failures | scheduled |
      | crashes  | plain     |
      | crashes  | scheduled |
