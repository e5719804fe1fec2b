Feature: The scheduler applies what workers report, and never runs a task twice

  Scenario Outline: after <event> the task is "<state>"
    Given a job of one task that may fail 2 times
    When "<event>" happens to its run
    Then the task is "<state>"

    Examples:
      | event                                              | state      |
      | an end done                                        | done       |
      | an end failed                                      | waiting    |
      | an end failed that is told twice                   | waiting    |
      | an end failed that a successor hears again         | waiting    |
      | ends failed of two runs                            | job failed |
      | an end stopped                                     | waiting    |
      | a list without it, asked for after its answer      | waiting    |
      | a list without it, asked for before its answer     | active     |
      | no answer, and a list after its order is void      | waiting    |
      | no answer, and a list while its order is valid     | active     |
      | no answer, and a list after its stop was answered  | waiting    |
      | an older list that lacks it                        | active     |
      | silence until its lease has lapsed                 | waiting    |
      | silence while its lease lives                      | active     |
      | silence past its lease, while another may lead     | active     |
      | a restart of its worker                            | waiting    |

  Scenario Outline: a successor that knows <known> lets a task be "<state>"
    Given a job of one task that may fail 2 times
    When a successor loads it knowing "<known>"
    Then the task is "<state>"

    Examples:
      | known                                          | state      |
      | nothing                                        | waiting    |
      | a handed run on a listed worker                | active     |
      | a handed run on a worker that is not listed    | held       |
      | a run handed on twice, on a listed worker      | active     |
      | a run handed on twice, on a worker that is not listed | held |
      | handed progress that ends the job              | unshown    |
      | stored progress that ends the job              | completed  |

  Scenario Outline: workers that are not heard, <case>, hold back pools "<pools>"
    Then with "<case>" the pools "<pools>" are held back after a takeover

    Examples:
      | case                                  | pools  |
      | none                                  |        |
      | one listed worker                     | pool-1 |
      | a host that is up without its worker  | pool-1 |
      | a host that is shown as down          | pool-1 |
      | a host that moves                     |        |
      | a worker of a host that moved         |        |
      | hosts not read yet                    | all    |

  Scenario Outline: a lasting task is stopped for maintenance if <case>: <stops>
    Given a job of 3 lasting tasks of which 1 may be missing
    When "<case>" and all hosts are due for maintenance
    Then <stops> of its tasks are stopped in one tick

    Examples:
      | case                                | stops |
      | all are at work                     | 1     |
      | one is starting                     | 0     |
      | one is on a silent worker           | 0     |
      | one waits                           | 0     |
      | no other worker has room            | 0     |

  Scenario Outline: a leader with <case> is replaced: <replaced>
    Then a leader with "<case>" is replaced: "<replaced>"

    Examples:
      | case                                      | replaced |
      | nobody hears it for 2 s                   | yes      |
      | one of five hears it                      | no       |
      | most others do not answer                 | no       |
      | this node hears it                        | no       |
      | there is no other node                    | yes      |
      | half of the others answer that it is lost | yes      |

  Scenario Outline: a leader without the store for <silent> s hands over: <handed>
    Then a leader without the store for <silent> s hands over leadership when other nodes report "<others>": "<handed>"

    Examples:
      | silent | others          | handed |
      | 0.5    | a fresh store   | no     |
      | 2.0    | a fresh store   | yes    |
      | 2.0    | a silent store  | no     |
      | 2.0    | an old word     | no     |
      | 2.0    | no word         | no     |

  Scenario Outline: jobs are ordered under an overload of <jobs> jobs by <policy>
    When <jobs> jobs of mixed sizes arrive within 3 seconds at 4 workers, seed <seed>
    Then ordering by value earns at least as much value as "<policy>"

    Examples:
      | jobs | seed | policy        |
      | 60   | 1    | arrival       |
      | 60   | 2    | arrival       |
      | 120  | 3    | arrival       |
      | 60   | 1    | least slack   |
      | 120  | 2    | least slack   |
      | 120  | 3    | least slack   |

  Scenario Outline: a run that <case> is moved: <moved>
    Given a job of one task that may fail 2 times
    Then a run that "<case>" is moved: "<moved>"

    Examples:
      | case                                           | moved |
      | stands still for 3 s                           | yes   |
      | stands still and no other worker has room      | no    |
      | progresses                                     | no    |
      | is longer than declared on a usual worker      | no    |
      | runs on a worker far slower than its pool      | yes   |
      | was last seen 2 s ago                          | no    |
      | lasts and is not at work after 5 s             | yes   |
      | lasts and is at work                           | no    |

  Scenario Outline: fillers beside a task at <tail> of its target, paced at <pace>, get <percent>
    Then fillers beside a task with a tail latency of <tail> of its target, paced at <pace>, get <percent>

    Examples:
      | tail | pace | percent |
      | 0.9  | 100  | 0       |
      | 0.9  | 0    | 0       |
      | 0.6  | 50   | 50      |
      | 0.2  | 50   | 75      |
      | 0.2  | 100  | 100     |

  Scenario Outline: an occurrence <early> s before its time is created: <created>
    Then of a job of 3 occurrences every 2 s, <created> exist <early> s before the first

    Examples:
      | early | created |
      | 0.1   | 0       |
      | 0     | 1       |
      | -2.5  | 2       |
      | -20   | 3       |

  Scenario Outline: a task of a queue with advice starts with <tickets>: <starts>
    Then a task of a queue with advice and "<tickets>" starts: "<starts>"

    Examples:
      | tickets                      | starts |
      | no ticket                    | no     |
      | a ticket                     | yes    |
      | a ticket that has lapsed     | no     |
      | a ticket that was rejected   | no     |

  Scenario Outline: free hosts go to the pools by need: <case>
    Then <hosts> free hosts are moved as "<given>" for the needs "<needs>"

    Examples:
      | case                  | hosts | needs | given |
      | none is short         | 4     | 1:0   | 0:0   |
      | one is short          | 4     | 3:0   | 2:0   |
      | both are short        | 6     | 20:4  | 5:1   |
      | too few for all       | 2     | 20:20 | 1:1   |

  Scenario Outline: a job <age> s after its arrival is <urgency>
    Then a job that takes 0.5 s, <age> s after its arrival, is <urgency>

    Examples: in time until 1.4 s, of some use until three times that
      | age | urgency |
      | 0.8 | in time |
      | 1.0 | useful  |
      | 3.6 | useful  |
      | 3.8 | late    |

  Scenario Outline: late work yields hosts: <tasks> tasks, <age> s old, <lacks> hosts lacking
    Then of <tasks> tasks <age> s old, beside a pool that lacks <lacks> hosts, <starts> start

    Examples: four hosts, each with a small task that runs
      | tasks | age | lacks | starts |
      | 4     | 2.0 | 0     | 4      |
      | 4     | 2.0 | 1     | 3      |
      | 4     | 9.0 | 2     | 2      |
      | 4     | 9.0 | 9     | 1      |
      | 4     | 0.1 | 9     | 4      |

  Scenario Outline: of 4 workers, <bad> that fail runs beside a lasting task get <tasks>
    Then of 4 workers with a lasting task each, <bad> that fail get <tasks> of 40 tasks

    Examples:
      | bad | tasks |
      | 0   | 40    |
      | 1   | 1     |
      | 2   | 2     |
      | 3   | 30    |
      | 4   | 40    |

  Scenario Outline: a registration of a worker that was ended <case> is used: <used>
    Then a registration of an ended worker "<case>" is used: "<used>"

    Examples:
      | case                              | used |
      | at once                           | no   |
      | at once, with a later start       | yes  |
      | after its heartbeats would be out | yes  |
