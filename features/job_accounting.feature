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

  Scenario Outline: a job whose start is <reply> counts as started: <started>
    Given a job whose start is sent
    When the reply to its start is "<reply>"
    Then the job counts as started: "<started>"

    Examples: jobs that had not begun were missing from the count of waiting ones
      | reply                          | started |
      | no reply yet                   | no      |
      | done                           | yes     |
      | unhealthy                      | no      |
      | room                           | no      |
      | unknown                        | no      |
      | unknown, and a list shows it   | yes     |
      | unknown, and a list has an end | yes     |

  Scenario Outline: of a gang of <members> at most <most> run on each of <workers> workers: <started> start
    Given a gang of <members> members, at most <most> on each of <workers> workers
    When it is placed
    Then <started> members start, at most <most> on each worker

    Examples: members that are placed together were not counted
      | members | most | workers | started |
      | 3       | 1    | 1       | 0       |
      | 3       | 1    | 3       | 3       |
      | 4       | 2    | 2       | 4       |
      | 5       | 2    | 2       | 0       |
      | 3       | 0    | 1       | 3       |

  Scenario Outline: a listed run of a job that is <state> takes room until it has ended: <takes>
    Given a worker with room for one task, which lists a run of a job that is "<state>"
    When another task is placed
    Then it starts there: "<starts>"

    Examples: runs that the leader had not started and had stopped were not counted
      | state       | takes | starts |
      | cancelled   | yes   | no     |
      | running     | yes   | no     |
      | not there   | no    | yes    |

    Examples: a new leader has no task for the run, and stops it under its name only
      | state                                               | takes | starts |
      | cancelled and scheduled                             | yes   | no     |
      | cancelled and scheduled, of half the room           | half  | no     |
      | cancelled and scheduled, of half the room, beside a task of half the room | half | yes |
      | cancelled and scheduled, known after it was listed  | yes   | no     |
      | scheduled, of an occurrence that is done            | yes   | no     |
      | running, in a step that it does not have            | yes   | no     |
      | not known                                           | yes   | no     |
      | not known, under a name of no task                  | yes   | no     |
      | cancelled and scheduled, and it has ended           | no    | yes    |
      | not known, and it has ended                         | no    | yes    |
      | cancelled and scheduled, and its worker is back without it | no | yes |

  Scenario Outline: a listed run that is not in the tables, of a job that is <state>, is only stopped
    Given a worker with room for one task, which lists a run of a job that is "<state>"
    Then the list causes one stop of the run by its name, and nothing else
    And another list without it causes nothing
    And another list with its end causes nothing

    Examples:
      | state                                      |
      | cancelled and scheduled                    |
      | scheduled, of an occurrence that is done   |
      | not known                                  |

  Scenario Outline: a start of a <kind> task that gets no answer is stopped: <stopped>
    Given a start of a "<kind>" task is sent
    When the reply to its start is "unknown"
    Then its run is stopped: "<stopped>"

    Examples: the stop ended lasting tasks at work while others of their step were away
      | kind    | stopped |
      | plain   | yes     |
      | lasting | no      |

  Scenario Outline: a lasting task whose start got no answer starts again <seconds> s later if a list is without it: <starts>
    Given a start of a "lasting" task is sent
    When the reply to its start is "unknown"
    And its worker lists no run <seconds> s after the start
    Then the task may start again: "<starts>"

    Examples: the order is void once its deadline has passed
      | seconds | starts |
      | 1.0     | no     |
      | 1.6     | yes    |
