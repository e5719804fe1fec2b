Feature: A task that crashes the workers that start it is given up, and no other

  # A task that crashed each worker that started it was started again and again.
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

  Scenario Outline: a task whose worker <history> is <outcome>
    Given a task and 8 workers
    When each worker of the task "<history>"
    Then the verdict on it is "<outcome>"

    Examples: crashes
      | history                                             | outcome   |
      | crashes once, running it alone                      | isolated  |
      | crashes twice, running it alone                     | isolated  |
      | crashes three times, running it alone               | given up  |
      | crashes three times, running others as well         | isolated  |
      | crashes four times, running others as well          | given up  |
      | crashes three times on one host, running it alone   | isolated  |
      | crashes three times on two hosts, running it alone  | given up  |
      | crashes once, 2 s into a run beside others          | free      |
      | crashes twice, 2 s into a run beside others         | isolated  |
      | lapses, then another answers there                  | isolated  |
      | restarts under its own id                           | isolated  |
      | is replaced on its host while it is silent          | isolated  |
      | crashes before it answered the start                | isolated  |

    Examples: what is no crash under it
      | history                                             | outcome   |
      | crashes 6 s into a run                              | free      |
      | crashes after it confirmed a stop                   | free      |
      | crashes before the start was sent                   | free      |
      | drains and is replaced                              | free      |
      | is replaced by an order on its host                 | free      |
      | lapses, then answers again                          | free      |
      | crashes after the task was done                     | done      |
      | is silent as an earlier one's registration is read  | running   |

    # A start sent to a worker that was down counted as a crash under its task: jobs
    # failed of which no run had ever begun.
    Examples: crashes of workers that had not answered the start
      | history                                              | outcome  |
      | crashes three times before it answered the start     | isolated |
      | crashes four times before it answered the start      | isolated |
      | crashes six times before it answered the start       | isolated |
      | lapses four times before it answered the start       | isolated |
      | crashes four times, once after it answered the start | isolated |
      | crashes three times, twice after it answered the start | given up |
      | crashes four times beside others, twice after it answered | given up |

    # A sound job was shown as failed after three crashes, of which one was on a worker
    # of its own half a second into the run and one left a start without an answer.
    Examples: crashes that did not come with the start
      | history                                                    | outcome  |
      | crashes beside others, unanswered, and 0.5 s into it alone | isolated |
      | crashes three times, once 0.5 s into it alone              | isolated |
      | crashes four times, 0.5 s into it alone                    | isolated |
      | crashes four times, once 0.5 s into it alone               | given up |
      | crashes five times, 0.5 s into it alone                    | given up |
      | crashes four times beside others, 0.5 s into it            | isolated |
      | crashes five times beside others, 0.5 s into it            | given up |
      | crashes five times, 0.5 s into it, twice before it answered | given up |
      | crashes five times, 0.5 s into it, thrice before it answered | isolated |

    # A run on the next incarnation of a worker, under the same id, counted as crashed
    # with the earlier one.
    Examples: restarts under its own id
      | history                                                    | outcome  |
      | restarts four times, and lists the start sent between      | running  |
      | restarts four times, and lists the end of the start        | free     |
      | restarts four times, as the start and a poll are answered  | isolated |
      | restarts three times after it answered the start           | given up |

    # A leader took the runs that it inherited for new ones: after each takeover every
    # lasting task on a worker that crashed was a suspect.
    Examples: crashes under runs that an earlier leader started
      | history                                                | outcome  |
      | crashes 60 s into a run that was handed over           | free     |
      | crashes 60 s into a run handed over, before an answer  | free     |
      | crashes 60 s into a run that was handed over twice     | free     |
      | crashes 60 s into a run that a list showed             | free     |
      | crashes as a start handed over has no answer           | free     |
      | crashes 0.1 s into a run that was handed over          | isolated |
      | crashes 0.1 s into a run handed over, before an answer | isolated |

  Scenario Outline: a suspect task starts <where>: <started>
    Given a suspect task and workers that are "<where>"
    Then after <waited> s it starts on "<started>"

    Examples:
      | where                                | waited | started  |
      | one busy and one empty               | 0      | worker-1 |
      | all busy                             | 1      | nothing  |
      | all busy                             | 3      | worker-1 |
      | one empty where it has crashed       | 1      | nothing  |
      | one empty, while its crash is unsaved | 0     | nothing  |

  Scenario: no other task joins a suspect one until it has outlived the suspicion
    Given a suspect task that runs on the only worker
    Then another task starts there only after it has run for 6 s

  Scenario: a task that outlives the suspicion is cleared of its crashes
    Given a suspect task that runs on the only worker
    When its worker answers after 6 s
    Then the verdict on it is "running"

  # Only a run on a worker of its own cleared a task: the crashes under a lasting task
  # added up over its whole life.
  Scenario Outline: the crashes under a task are <kept> after 6 s of a run <how>
    Given a suspect task that a worker has run for 6 s, <how>
    When the leader clears tasks that have outlived the suspicion
    Then the crashes under it are "<kept>"

    Examples:
      | how                              | kept    |
      | on a worker of its own           | cleared |
      | beside others                    | cleared |
      | that was handed over             | cleared |
      | that a list showed               | cleared |
      | whose start was not answered     | kept    |
      | whose start was carried out late | kept    |

  Scenario: the next leader knows the crashes under a task
    Given a task under which 2 workers crashed while they ran nothing else
    When the next leader loads the job and a third worker crashes under the task
    Then the verdict on it is "given up"

  # The verdict on one lasting task stopped the others of its job, which were at work.
  Scenario Outline: <bad> of 3 lasting tasks <kind> crash their workers: the job is <state>
    Given a job of 3 lasting tasks <kind> that are at work
    When <bad> of them crash 3 workers each
    Then <stopped> of its runs are stopped and the job is "<state>"
    And the next leader starts <started> of its tasks beside <running> runs

    Examples:
      | bad | kind       | stopped | state   | started | running |
      | 1   | one by one | 0       | running | 0       | 2       |
      | 2   | one by one | 0       | running | 0       | 1       |
      | 3   | one by one | 0       | failed  | 0       | 0       |
      | 1   | in a gang  | 2       | failed  | 0       | 0       |

  # The verdict was only reached as a worker crashed, so that a leader that died between
  # storing the crash and the verdict left it to the next crash.
  Scenario: the next leader gives a task up whose crashes convict it
    Given a task with 3 crashes stored that convict it
    When the next leader loads the job and its crashes
    Then the verdict on it is "given up"

  # Each leader that was lost after a start took the crash under it along: a task was
  # started three times more after three crashes.
  Scenario Outline: a task with <crashes> crashes is <outcome> after leaders that <ends>
    Given a task with <crashes> crashes stored beside other runs
    When leaders follow one another that "<ends>"
    Then the verdict on it is "<outcome>"

    Examples:
      | crashes | ends                                     | outcome  |
      | 3       | are lost                                 | isolated |
      | 3       | are lost, are lost                       | given up |
      | 2       | are lost, are lost, are lost             | isolated |
      | 4       | are lost                                 | given up |
      | 4       | hand over, hand over                     | isolated |
      | 4       | hand over a run on a worker that is gone | given up |
      | 4       | hand over a run                          | isolated |
      | 4       | are lost as a worker lists the run       | isolated |
      | 4       | are lost as a worker lists its end       | isolated |
      | 4       | are lost as a worker has not reported    | isolated |
      | 0       | are lost before three prompt crashes     | given up |
      | 0       | are lost twice before two crashes        | given up |
      | 0       | hand over before three prompt crashes    | isolated |

  # It may start again before all workers have reported, but not be given up: the end of
  # its last run may be listed until then.
  Scenario Outline: a lasting task with 2 conclusive crashes is <outcome> after leaders that <ends>
    Given a lasting task with 2 conclusive crashes stored beside other runs
    When leaders follow one another that "<ends>"
    Then the verdict on it is "<outcome>"

    Examples:
      | ends                                  | outcome  |
      | are lost                              | given up |
      | are lost as a worker lists its end    | isolated |
      | are lost as a worker has not reported | isolated |

  Scenario Outline: crashes stored <evidence> are <outcome> by the next one
    Given a task with 3 crashes stored <evidence>
    When the next leader loads the job and another worker crashes under the task
    Then the verdict on it is "<outcome>"

    Examples:
      | evidence                                | outcome  |
      | of workers that had answered its start  | given up |
      | of workers that never answered a start  | isolated |
      | by a build that noted no answers        | isolated |

  Scenario Outline: a run whose worker is silent is copied with <crashes> crashes to <room>: <copied>
    Given a task with copies allowed, <crashes> crashes and a silent worker
    Then it is copied to "<room>": <copied>

    Examples:
      | crashes | room                | copied |
      | 0       | a worker with runs  | no     |
      | 0       | an empty worker     | yes    |
      | 1       | an empty worker     | yes    |
      | 2       | an empty worker     | no     |

  Scenario Outline: crashes without an answer to a start hold no copy back
    Given a task with copies allowed, <crashes> crashes <evidence> and a silent worker
    Then it is copied to "an empty worker": <copied>

    Examples:
      | crashes | evidence                               | copied |
      | 2       | of workers that had answered its start | no     |
      | 2       | of workers that never answered a start | yes    |

  Scenario Outline: two tasks that crash their workers, <others> that do not: <given_up> jobs are given up
    Given 8 workers and 2 tasks that crash each worker that starts them
    When <others> other tasks are placed with them until all have ended
    Then <given_up> jobs fail, after at most 5 starts, and all others are done

    Examples:
      | others | given_up |
      | 0      | 2        |
      | 6      | 2        |
      | 30     | 2        |

  Scenario Outline: <jobs> jobs of <width> tasks, one of which crashes its workers, beside <event>
    Given 12 workers, <jobs> jobs of <width> tasks, one crashing, and <event>
    When 24 other tasks are placed with them until all have ended
    Then <jobs> jobs fail, after at most 5 starts, and all others are done

    Examples:
      | jobs | width | event                                      |
      | 1    | 1     | half of the workers crash                  |
      | 2    | 1     | half of the workers crash, as suspects run |
      | 2    | 1     | no progress is stored for 3 s              |
      | 1    | 4     | nothing                                    |
      | 2    | 4     | nothing                                    |
      | 1    | 4     | half of the workers crash                  |
      | 1    | 4     | no progress is stored for 3 s              |
      | 0    | 1     | half of the workers crash                  |

  Scenario: a worker that crashes again and again for its own reasons fails no job
    Given 4 workers, one of which crashes 0.5 s after each start
    When 24 other tasks are placed with them until all have ended
    Then 0 jobs fail, after at most 5 starts, and all others are done

  Scenario Outline: no job is given up while <count> of <workers> workers crash each <period> s
    When <count> of <workers> workers crash each <period> s on average, under <others> tasks, with the seeds 1 to 20
    Then no job is given up

    Examples:
      | count | workers | period | others |
      | 3     | 20      | 0.7    | 60     |
      | 3     | 20      | 1.5    | 60     |
      | 2     | 12      | 1      | 24     |

  # Tasks moved from one worker to the next one that went dark, and were given up.
  Scenario Outline: no job is given up as workers go dark for <dark> s, one each <period> s
    When 5 of 12 workers go dark for <dark> s, one each <period> s, under <others> tasks of <cpu> millicores
    Then no job is given up

    Examples:
      | dark | period | others | cpu  |
      | 1.0  | 0.9    | 30     | 1600 |
      | 1.5  | 0.9    | 60     | 1600 |
      | 0.5  | 0.7    | 30     | 2700 |

  Scenario Outline: a worker with a task <kind> since <age> s is asked whether it is up: <asked>
    Given a worker that runs a task <kind> since <age> s
    Then the worker is asked whether it is up: <asked>

    Examples:
      | kind                             | age | asked |
      | under which a worker has crashed | 0.1 | yes   |
      | under which a worker has crashed | 0.5 | no    |
      | that is no suspect               | 0.1 | no    |
      | whose start has no answer        | 0.1 | no    |
      | while it is silent               | 0.1 | no    |

  # Starts to workers that had gone dark counted as crashes under their tasks.
  Scenario Outline: no job of <others> is given up for starts to <count> workers that go dark
    When <count> of <workers> workers go dark for <dark> s each <period> s before they crash
    And <others> tasks are placed on them, with the seeds 1 to 20
    Then each job that is given up has had 2 workers crash under it

    Examples:
      | count | workers | period | dark | others |
      | 6     | 12      | 1.0    | 1.2  | 12     |
      | 12    | 12      | 1.0    | 1.2  | 1      |
      | 12    | 12      | 3.0    | 1.0  | 24     |
      | 6     | 20      | 0.7    | 0.6  | 60     |

  Scenario Outline: a task that crashes its workers is given up if <lost> of its starts get no answer
    When 2 tasks crash 12 workers, and <lost> of their starts get no answer, with the seeds 1 to 20
    Then both jobs fail, after at most <most> starts, and all others are done

    Examples:
      | lost | most |
      | 0    | 3    |
      | 0.05 | 4    |
      | 0.1  | 5    |

  Scenario Outline: on a worker whose capacity <change>, <started> tasks of 4 cores start
    Given a worker of 16 cores that runs 2 tasks of 4 cores
    When its capacity <change>
    Then <started> tasks of 4 cores start on it

    Examples:
      | change                                    | started |
      | stays                                     | 2       |
      | shrinks to 12 cores                       | 1       |
      | shrinks to 4 cores                        | 0       |
      | shrinks to 4 cores and grows to 16        | 2       |
      | shrinks to 8 cores while a run is stopped | 0       |
