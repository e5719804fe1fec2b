Feature: Large jobs and many jobs leave the leader free for its other work

  # One job of 4,000 tasks with a limit on tasks per worker cost each placement the
  # square of its tasks; leaders were deposed one after another (review/12).
  Scenario Outline: the work of <operation> does not grow with the waiting tasks of <job>
    Then the work of "<operation>" with 2000 waiting tasks of "<job>" is at most 2 times that with 250

    Examples: a placement of a full pool
      | operation   | job                                         |
      | a placement | a step                                      |
      | a placement | a step with a limit per worker              |
      | a placement | a step with a label that no worker has      |
      | a placement | a step with a limit and a label             |
      | a placement | a step that prefers a rack                  |
      | a placement | a gang that does not fit                    |
      | a placement | a gang with a limit per worker              |
      | a placement | a step that may be copied                   |
      | a placement | a lasting step with a limit per worker      |
      | a placement | a step of a repeated job                    |
      | a placement | two steps, the second after the first       |
      | a placement | a step whose tasks have failed              |
      | a placement | a step with a limit whose tasks have failed |
      | a placement | a step of a queue that needs tickets        |

    Examples: tasks end, runs are watched, hosts are planned
      | operation                 | job                                    |
      | a placement in a free pool | a step with a limit per worker         |
      | a placement in a free pool | a step                                 |
      | the end of a task         | a step                                 |
      | the end of a task         | a step with a limit per worker         |
      | the end of a task         | two steps, the second after the first  |
      | a check of stalled runs   | a step with a limit per worker         |
      | a plan of hosts           | a step with a limit per worker         |
      | a plan of a wave          | a lasting step with a limit per worker |

  # Whatever waits, the loop has to be free for polls, orders and the leader's key.
  Scenario Outline: a slice of a placement does limited work beside <work>
    Then no slice of a placement beside "<work>" does more than 150000 lines of work

    Examples:
      | work                                          |
      | 3000 jobs                                     |
      | 3000 jobs with a label that no worker has     |
      | 3000 jobs with a limit per worker             |
      | 3000 jobs of different sizes                  |
      | a job of 10000 tasks of which some fit        |
      | a job of 10000 tasks that have failed         |
      | a job of 10000 tasks that crashed workers     |
      | a job of 10000 tasks that are held back       |
      | 50 gangs of 200 that do not fit               |
      | 20 gangs of 200 that fit                      |

  # Each occurrence was compared with all that are done, all at once.
  Scenario Outline: a tick does limited work for <jobs>
    Given <jobs>
    Then no tick that creates their occurrences does more than 150000 lines of work
    And after <ticks> ticks <open> occurrences are open

    Examples:
      | jobs                                              | ticks | open  |
      | 1 job of 10000 occurrences that are due           | 50    | 10000 |
      | 50 jobs of 100 occurrences that are due           | 25    | 5000  |
      | 1 job of 20000 occurrences of which 10000 are done | 1    | 200   |

  Scenario: a job of one occurrence does not wait for one of thousands
    Given 1 job of 10000 occurrences that are due
    And 1 job of 1 occurrences that are due
    Then after 1 ticks each job has an open occurrence

  # A placement that goes on acts on what it finds then.
  Scenario Outline: between two slices of a placement <change>
    Given a placement that has started the first of 12 tasks
    When between two slices "<change>"
    Then in the rest of the placement <result>

    Examples:
      | change                                  | result                       |
      | nothing changes                         | 11 tasks start               |
      | its job is cancelled                    | 0 tasks start                |
      | its job fails                           | 0 tasks start                |
      | its queue moves to another pool         | 0 tasks start                |
      | its worker drains                       | 0 tasks start                |
      | its worker stops answering              | 0 tasks start                |
      | its worker is gone                      | 0 tasks start                |
      | another run takes half of the room      | 5 tasks start                |
      | a worker is found to run its last task  | 10 tasks start               |
      | a worker joins                          | 11 tasks start on the first  |
      | a more important job is added           | 12 tasks start, its own next |

  Scenario: room that becomes free during a placement goes to the most important job
    Given a full pool, where a large job waits before a small one
    When a run ends after the placement has passed the large job
    Then nothing starts in this placement, and the large job starts in the next

  Scenario: a job that is added while others are ranked takes its turn with them
    Given a placement that has ranked 2 of 3 jobs
    When between two slices another job is added
    Then the tasks of 4 jobs start in the same placement

  # What is started is in the tables before it is sent.
  Scenario Outline: an error in one pool, <error>, loses no start of another
    Given jobs in two pools, and "<error>" in the second
    When both pools are placed in one slice
    Then the task of the first pool starts, and the error is logged as "<event>"

    Examples:
      | error                   | event           |
      | a job cannot be ranked  | pool-not-placed |
      | a worker cannot be read | pool-not-placed |
      | a run cannot be copied  | runs-not-copied |

  Scenario Outline: the leader places in slices until <end>
    Given a leader with 3000 jobs that fit no worker and one that does
    When it places and "<end>"
    Then its loop was free between the slices
    And the job that fits starts: "<starts>"
    And its metrics count a placement of several slices: "<counted>"

    Examples:
      | end                              | starts | counted |
      | all jobs have had their turn     | yes    | yes     |
      | it loses its authority           | no     | no      |
      | it loses and regains it          | yes    | yes     |
      | it is closed                     | no     | no      |

  # Each leadership that a node gained left its tables behind: 70 MB with 80,000
  # waiting tasks.
  Scenario: a node that has lost the leadership holds no tables of it
    When a node leads 5 times and loses the leadership each time
    Then 0 of the tables of its leaderships are left

  Scenario Outline: a task that waits takes little memory
    Then a waiting task of <count> takes at most 100 bytes

    Examples:
      | count  |
      | 1000   |
      | 10000  |

  Scenario: a task that is done takes little memory
    Then a done task of a job of 1000 takes at most 200 bytes

  Scenario Outline: a job that <state> keeps <tasks> tasks in the tables
    Given a job of 4 tasks, two of which run
    When "<state>" and ended jobs are swept
    Then the tables keep its request, and <tasks> of its tasks

    Examples:
      | state                                | tasks |
      | is open                              | 4     |
      | is cancelled while its runs stop     | 4     |
      | is cancelled and its runs have ended | 0     |
      | has failed, which is not stored yet  | 4     |
      | has failed                           | 0     |
