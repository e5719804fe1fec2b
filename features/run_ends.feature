Feature: A task starts again only when its earlier run has surely ended

  Scenario Outline: a run forgotten after <event> is logged with the proof "<proof>"
    Given a job of one task that may fail 2 times
    And its decisions are recorded
    When this happens to its run: "<event>"
    Then its run is logged as forgotten with the proof "<proof>"

    Examples:
      | event                                                  | proof                    |
      | a list without it, requested after the start answer    | absent from a later list |
      | no start answer, and a list after the start's deadline | absent from a later list |
      | worker silence until the lease has lapsed              | lease lapsed             |
      | a restart of its worker                                | absent from a later list |
      | worker silence while the lease is valid                |                          |
      | a report that it is done                               |                          |

  Scenario Outline: a listed run whose start was <state> is logged as found: <found>
    Given a job of one task that may fail 2 times
    When the worker's incarnation 7 lists a run whose start was "<state>"
    Then the list is logged as showing a run sent to incarnation <sent_to>: "<found>"

    Examples:
      | state                        | sent_to | found |
      | answered by incarnation 7    | 7       | no    |
      | sent to incarnation 7        | 7       | yes   |
      | sent to incarnation 3        | 3       | yes   |
      | sent by an earlier leader    | unknown | yes   |

  Scenario: a restart of a worker is logged with the starts that were not answered
    Given a job of one task that may fail 2 times
    When the worker restarts with an unanswered start
    Then the restart and the unanswered start are logged

  Scenario Outline: of two runs of a task, the first at <first> and <answering>, the second at 10 percent, run <stopped> is stopped
    Given a job of one task that may fail 2 times
    When a second worker lists a run of the task at 10 percent, the first is at <first> percent on a worker that is <answering>
    Then one second run is reported
    And run <stopped> of the task is stopped

    Examples:
      | first | answering | stopped |
      | 5     | answering | 1       |
      | 10    | answering | 2       |
      | 50    | answering | 2       |
      | 50    | silent    | 1       |

  Scenario Outline: a successor of a leader that may still act starts <what>: <starts>
    Then a successor of a leader that may still act starts "<what>": "<starts>"

    Examples:
      | what                                                                      | starts |
      | a job 7 s after a stopped leader, the one before had stopped              | yes    |
      | a job 7 s after a stopped leader, the one before may act                  | no     |
      | a loaded job, before all workers reported                                 | no     |
      | a loaded job, after all workers reported                                  | yes    |
      | a job found later, after all workers reported                             | yes    |
      | a job found long after, before all workers reported                       | yes    |
      | a next step, once earlier polls are over                                  | yes    |
      | a queue's job, after its former pool reported                             | yes    |
      | a job found later, before all workers reported                            | no     |
      | an occurrence due later, before all workers reported                      | no     |
      | a queue's job, before its former pool reported                            | no     |
      | a job of a run handed over on an unlisted worker                          | no     |
      | a next step, while earlier polls may wait                                 | no     |
      | a job found after a worker listed its run                                 | no     |
      | a job found after a worker listed its end                                 | no     |
      | an occurrence whose run was handed over                                   | no     |
      | a job, an unreported worker aside: another answers at its address         | no     |
      | a job, an unreported worker aside: it registers with another address      | no     |
      | a job, an unreported worker aside: it had registered with another address | no     |
      | a job of a run listed by a worker, at whose address another answers       | no     |
      | a job on a worker with a run of an unknown job                            | no     |
      | a job of an unclaimed run, after a handover                               | no     |
      | a job of an unclaimed end, after a handover                               | no     |
      | a next step, after a gang                                                 | no     |
      | a next step, after copies                                                 | no     |

  Scenario Outline: a task starts again after <event>: <starts>
    Then a task starts again after "<event>": "<starts>"

    Examples:
      | event                                                           | starts |
      | a move of another worker's host                                 | no     |
      | a move of its host that was ordered before it started           | no     |
      | silence while its lease is valid                                | no     |
      | silence until its lease has lapsed                              | yes    |
      | a later registration of its worker with another address         | no     |
      | that registration, and its lease's end                          | yes    |
      | a later registration of its worker at its address               | no     |
      | an answer of a later worker on its host                         | yes    |
      | an answer of another worker at its address, and its lease's end | yes    |
      | a restart of its worker that may have answered the start        | no     |
      | a restart of its worker, and a later list without it            | yes    |
      | a restart of its worker that it had started on                  | yes    |
      | a restart of its worker, which then confirmed a stop            | yes    |
      | silence of an adopted run's worker for 6.3 s                    | yes    |
      | silence of a worker after a takeover for 6 s                    | no     |
      | silence of a worker after a takeover for 6.3 s                  | yes    |
      | a restart of its worker with its clock set back                 | yes    |
      | a registration of a worker with a wrong birth                   | yes    |
      | a restart of its worker that confirms no stop for 5 s           | no     |
      | a restart of its worker that confirms no stop for 22 s          | yes    |
      | an entry of another worker that names its host                  | no     |
      | a list without it that has 499 ends                             | yes    |
      | silence of an adopted run's worker for 1 s                      | no     |
      | silence of an adopted run's worker for 6 s                      | no     |
      | silence of an adopted run's worker for 6.121 s                  | no     |
      | a list without it that has 500 ends                             | no     |
      | a late answer of an earlier incarnation                         | no     |
      | a registration of its worker with another address               | no     |
      | a registration of a later worker on its host                    | no     |
      | an answer of another worker at its address                      | no     |
      | a restart of its worker before the start was answered           | no     |

  Scenario Outline: a start that <event> is sent: <sent>
    Then a start that "<event>" while it waits for its turn is sent: "<sent>"

    Examples:
      | event                                          | sent |
      | stays in the table                             | yes  |
      | is forgotten                                   | no   |
      | waits while its worker's clock becomes unknown | no   |
      | is told to stop                                | no   |
      | waits while its worker is back and usable again | no  |

  Scenario Outline: a start that curl sent <copies> times and that was answered "<refusal>" had no effect: <proven>
    Then a start sent in <copies> copies and answered "<refusal>" has surely had no effect: "<proven>"

    Examples:
      | copies | refusal      | proven |
      | 1      | no refusal   | no     |
      | 2      | no refusal   | no     |
      | 1      | unhealthy    | yes    |
      | 1      | late         | yes    |
      | 1      | old          | yes    |
      | 1      | fence        | yes    |
      | 2      | fence        | no     |
      | 1      | other worker | yes    |
      | 2      | other worker | no     |
      | 2      | unhealthy    | no     |
      | 2      | busy         | no     |
      | 2      | late         | no     |
      | 2      | old          | no     |

  Scenario Outline: a write that curl sent <copies> times and that the store refused was surely not done: <proven>
    Then a write sent in <copies> copies and refused by the store was surely not done: "<proven>"

    Examples:
      | copies | proven |
      | 1      | yes    |
      | 2      | no     |

  Scenario Outline: a host order that curl sent <copies> times and that was refused had surely no effect: <proven>
    Then a host order sent in <copies> copies and refused had surely no effect: "<proven>"

    Examples:
      | copies | proven |
      | 1      | yes    |
      | 2      | no     |

  Scenario Outline: an answer of <incarnation> tells the time of a worker: <tells>
    Then an answer of <incarnation> tells the time of a worker: "<tells>"

    Examples:
      | incarnation             | tells |
      | the present incarnation | yes   |
      | an earlier incarnation  | no    |

  Scenario Outline: a node that campaigns for a vanished key after <missed> leads under epoch <epoch>
    Then a node that campaigns for a vanished key after <missed> leads under epoch <epoch> with the leader it knew as predecessor: "<direct>"

    Examples:
      | missed                | epoch | direct |
      | no missed leadership  | 2     | yes    |
      | one missed leadership | 3     | no     |

  Scenario Outline: a leader whose key vanished writes it again after <missed>: <leads>
    Then a leader whose key vanished leads again after <missed>: "<leads>"

    Examples:
      | missed                | leads |
      | no missed leadership  | yes   |
      | one missed leadership | no    |

  Scenario Outline: a leader that writes its vanished key again has authority if <answer>: <has>
    Then a leader whose write of its vanished key is "<answer>" has authority: "<has>"

    Examples: its lease was lost, and the node is the only one left
      | answer                                       | has |
      | answered                                     | yes |
      | carried out and not answered                 | yes |
      | carried out, and a second copy refused       | yes |
      | not answered, as another node took the key   | no  |

  Scenario Outline: a node succeeds a stopped leader, of the one before <state>: it may act for <left> s
    Then a node that succeeds a stopped leader while of the one before "<state>" knows that it may act for <left> s

    Examples:
      | state                                       | left |
      | it is known to have stopped                 | 0.0  |
      | nothing is known                            | 6.1  |
      | its successor's record says that it may act | 5.0  |

  Scenario Outline: polls with the last stored ends <ends> acknowledge <acknowledged>
    Then polls with the last stored ends "<ends>" acknowledge "<acknowledged>"

    Examples: a question mark stands for a poll without an answer
      | ends            | acknowledged  |
      | 5, 5            | 5, 0          |
      | 5?, 5, 5, 5     | 5, 0, 5, 0    |
      | 5?, 5?, 6, 6, 6 | 5, 0, 0, 6, 0 |
      | 5, 6, 6         | 5, 6, 0       |
      | 0, 0            | 0, 0          |

  Scenario: what is stored of one incarnation acknowledges no end of the next
    Then no end of an incarnation is acknowledged by what was stored of the one before

  Scenario Outline: a leader that lost its lease and whose key <state> has authority: <has>
    Then a leader that lost its lease and whose key "<state>" has authority: "<has>"

    Examples:
      | state              | has |
      | is written again   | yes |
      | cannot be written  | no  |

  Scenario Outline: a leader whose <unanswered> first calls get no answer ends its predecessor's lease with <calls>
    Then a leader whose <unanswered> first calls get no answer ends its predecessor's lease with <calls>

    Examples:
      | unanswered | calls |
      | 0          | 1     |
      | 2          | 3     |

  # A lasting task whose run ended `done` was never started again.
  Scenario: ends of runs, beside other workers and leaders, keep work from going on
    Then lasting and scheduled jobs go on as workers and leaders change, with the seeds 1 to 10

  Scenario Outline: done is taken for the end of a perpetual task if <event>
    Then a perpetual task goes on as it should if "<event>"

    Examples: runs end as done, and records are of earlier versions
      | event                                    |
      | a run ends                               |
      | the end of an unknown run is listed      |
      | the runs of all tasks end                |
      | runs end more often than a task may fail |
      | a member of a gang ends                  |
      | one of two copies ends                   |
      | a run ends, and a step comes after       |
      | a run ends, and a step before is done    |
      | it is stored as done                     |
      | its occurrence is stored as done         |
      | its job is handed over as completed      |
      | its job is stored as completed           |
      | a run lasts for longer than declared     |
      | a run that lasted for long ends          |
