Feature: The scheduler applies what workers report, and never runs a task twice

  Scenario Outline: the task is "<state>" after <event>
    Given a job of one task that may fail 2 times
    When this happens to its run: "<event>"
    Then the task is "<state>"

    Examples:
      | event                                                   | state      |
      | a report that it is done                                | done       |
      | a report that it failed                                 | waiting    |
      | a report that it failed, sent twice                     | waiting    |
      | a report that it failed, sent to a successor again      | waiting    |
      | reports that two of its runs failed                     | job failed |
      | a report that it was stopped                            | waiting    |
      | a list without it, requested after the start answer     | waiting    |
      | a list without it, requested before the start answer    | active     |
      | no start answer, and a list after the start's deadline  | waiting    |
      | no start answer, and a list before the start's deadline | active     |
      | no start answer, and a list after its stop was answered | waiting    |
      | an older list without it                                | active     |
      | worker silence until the lease has lapsed               | waiting    |
      | worker silence while the lease is valid                 | active     |
      | worker silence past the lease, while another may lead   | active     |
      | a restart of its worker                                 | waiting    |

  Scenario Outline: a task that a successor loads with <known> is "<state>"
    Given a job of one task that may fail 2 times
    When a successor loads it with "<known>"
    Then the task is "<state>"

    Examples:
      | known                                          | state     |
      | nothing                                        | waiting   |
      | a handed-over run on a listed worker           | active    |
      | a handed-over run on an unlisted worker        | held      |
      | a handed-over run, after its job was cancelled | stopping  |
      | a run handed over twice, on a listed worker    | active    |
      | a run handed over twice, on an unlisted worker | held      |
      | handed-over progress that ends the job         | unshown   |
      | stored progress that ends the job              | completed |

  Scenario Outline: workers that did not report their runs, <case>, hold back pools "<pools>"
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

  Scenario Outline: perpetual tasks that are stopped for maintenance if <case>: <stops>
    Given a job of 3 perpetual tasks of which 1 may be missing
    When "<case>" and all hosts are due for maintenance
    Then <stops> of its tasks are stopped in one tick

    Examples:
      | case                             | stops |
      | all are at work                  | 1     |
      | one is starting                  | 0     |
      | one is on an unresponsive worker | 0     |
      | one is on a draining worker      | 1     |
      | one is waiting                   | 0     |
      | no other worker has room         | 0     |

  Scenario Outline: the leader is replaced if <case>: <replaced>
    Then the leader is replaced if "<case>": "<replaced>"

    Examples:
      | case                                                         | replaced |
      | no node has received its messages for 2 s                    | yes      |
      | one of five other nodes receives its messages                | no       |
      | most other nodes do not answer                               | no       |
      | this node receives its messages                              | no       |
      | there is no other node                                       | yes      |
      | three of five other nodes answer, none receives its messages | yes      |

  Scenario Outline: a leader without a store answer for <silent> s hands over leadership: <handed>
    Then a leader without a store answer for <silent> s hands over leadership if other nodes sent "<others>": "<handed>"

    Examples:
      | silent | others                                 | handed |
      | 0.5    | a report of a recent store answer      | no     |
      | 2.0    | a report of a recent store answer      | yes    |
      | 2.0    | a report of an old store answer        | no     |
      | 2.0    | an old report of a recent store answer | no     |
      | 2.0    | no report                              | no     |

  Scenario: a store outage for all nodes makes no leader hand over
    Then a leader without a store answer for 1.25 s hands over leadership if other nodes sent "a report of an answer soon after its own": "no"

  Scenario Outline: of live nodes "<nodes>", the one to succeed "<leader>" is "<successor>"
    Then of live nodes "<nodes>", the one to succeed "<leader>" is "<successor>"

    Examples: name, cores and Mbit/s of its link
      | nodes                      | leader | successor |
      | a 2 100, b 1 100, c 1 5    |        | a         |
      | a 2 100, b 1 100, c 1 5    | a      | b         |
      | a 4 5, b 1 100, c 1 5      |        | b         |
      | a 2 5, b 1 5               |        | a         |
      | a 2 0, b 1 0               |        | a         |
      | a 2 100, b 2 200           |        | b         |

  Scenario Outline: a node of rank <rank>, which the store has answered for <since> s, campaigns in <wait> s
    Then a node of rank <rank> that the store has answered for <since> s campaigns in <wait> s

    Examples:
      | rank | since | wait |
      | 0    | 0.0   | 0.0  |
      | 10   | 0.0   | 0.6  |
      | 10   | 0.2   | 0.4  |
      | 10   | 9.0   | 0.0  |

    Examples: a wait below the resolution of the clock never passes
      | rank | since  | wait |
      | 1    | 0.0595 | 0.0  |

  Scenario Outline: under an overload of <jobs> jobs, ordering by value earns no less than by <policy>
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
      | case                                                  | moved |
      | makes no progress for 3 s                             | yes   |
      | makes no progress and no other worker has room        | no    |
      | progresses                                            | no    |
      | takes longer than declared on a worker of usual speed | no    |
      | runs on a worker far slower than its pool             | yes   |
      | made no progress but was last reported 2 s ago        | no    |
      | is perpetual and not at work after 5 s                | yes   |
      | is perpetual and at work                              | no    |

  Scenario Outline: fillers beside a task at <tail> of its target, paced at <pace> percent, are then paced at <percent>
    Then fillers beside a task with a tail latency of <tail> of its target, paced at <pace> percent, are then paced at <percent>

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

  Scenario Outline: free hosts are divided between pools by need: <case>
    Then <hosts> free hosts are moved as "<given>" for the needs "<needs>"

    Examples:
      | case                  | hosts | needs | given |
      | none is short         | 4     | 1:0   | 0:0   |
      | one is short          | 4     | 3:0   | 2:0   |
      | both are short        | 6     | 20:4  | 5:1   |
      | too few for all       | 2     | 20:20 | 1:1   |

  Scenario Outline: a job <age> s after its arrival is <urgency>
    Then a job that takes 0.5 s, <age> s after its arrival, is <urgency>

    Examples: in time if done by 1.4 s after arrival, useful up to three times that
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

  Scenario Outline: of 4 workers with a perpetual task each, <bad> that failed runs get <tasks> of 40 tasks
    Then of 4 workers with a perpetual task each, <bad> that failed runs get <tasks> of 40 tasks

    Examples: if none failed runs, the tasks of all workers are counted
      | bad | tasks |
      | 0   | 40    |
      | 1   | 1     |
      | 2   | 2     |
      | 3   | 30    |
      | 4   | 40    |

  Scenario Outline: a registration of an ended worker is used if it arrives <case>: <used>
    Then a registration of an ended worker that arrives "<case>" is used: "<used>"

    Examples:
      | case                                | used |
      | at once                             | no   |
      | at once, with a later start         | yes  |
      | after its heartbeats have timed out | yes  |

  Scenario Outline: a time of day that steps by <step> s for <seconds> s, then back: <back>
    Given a wall clock whose time of day steps by <step> s
    When it is read each second for <seconds> s, and steps back at the end: <back>
    Then it differs from the time without steps by <off> s

    Examples: a step is ignored until it has lasted for 30 s
      | step  | seconds | back | off   |
      | 0.2   | 5       | no   | 0.2   |
      | 2.9   | 5       | no   | 0     |
      | -2.9  | 5       | no   | 0     |
      | 2890  | 7       | yes  | 0     |
      | -2890 | 29      | no   | 0     |
      | 2.9   | 31      | no   | 2.9   |
      | -2.9  | 31      | no   | -2.9  |

  Scenario Outline: leases of tasks do not lapse by a step of <step> s of the time of day
    Then task leases renewed before a step of <step> s lapse 65 s after now

    Examples:
      | step  |
      | 0     |
      | 120   |
      | -120  |

  Scenario Outline: a pool that lacks <lacks> hosts gets <orders> in a tick, <rate> orders a second
    Then a pool that lacks <lacks> hosts gets <orders> in a tick at <rate> a second

    Examples: ten ticks a second; the platform's rate grows with the deployment
      | lacks | rate | orders |
      | 40    | 64   | 6      |
      | 40    | 215  | 20     |
      | 40    | 310  | 29     |
      | 4     | 310  | 4      |
      | 40    | 1    | 1      |

  Scenario Outline: <seconds> s into a wave of 20 s, a long run on its last host is stopped: <stop>
    Then <seconds> s into a wave of 20 s, a long run on its last host is stopped: <stop>

    Examples:
      | seconds | stop |
      | 5       | no   |
      | 12      | no   |
      | 17      | yes  |

  Scenario Outline: a host that the previous leader ordered <age> s ago is <order> now: <ordered>
    Then a host that the previous leader ordered <age> s ago is <order> now: <ordered>

    Examples: orders of two leaders to one host are 4.2 s apart
      | age | order      | ordered |
      | 0.1 | moved      | no      |
      | 4.1 | moved      | no      |
      | 4.3 | moved      | yes     |
      | 0.1 | maintained | no      |
      | 4.3 | maintained | yes     |

  Scenario Outline: after a takeover, a second step whose first ends <case> is held: <held>
    Then after a takeover, a second step whose first ends "<case>" is held: <held>

    Examples: an end that the previous leader cannot know of frees the next step
      | case                                               | held |
      | in the first list of its worker                    | yes  |
      | in a later list of its worker                      | yes  |
      | in a list after two seconds                        | no   |
      | in the first list, and a copy of it in a later one | yes  |

  Scenario Outline: a copy of run <number>, adopted in epoch <epoch>, has the number <copy>
    Then a copy of run <number>, adopted in epoch <epoch>, has the number <copy>

    Examples: numbers of leaderships never meet
      | number | epoch | copy   |
      | 100003 | 1     | 100004 |
      | 100003 | 3     | 300001 |

  Scenario Outline: a copy of a queue with advice and <tickets> starts: <starts>
    Then a copy of a queue with advice and "<tickets>" starts: "<starts>"

    Examples:
      | tickets                       | starts |
      | no ticket                     | no     |
      | a ticket for the other worker | yes    |

  Scenario Outline: of <due> due occurrences of <tasks> tasks, <created> are open at a time
    Then of <due> due occurrences of <tasks> tasks, <created> are open at a time

    Examples:
      | due    | tasks | created |
      | 3      | 4     | 3       |
      | 100000 | 4     | 2500    |
      | 100000 | 10000 | 1       |

  Scenario: a job whose data cannot be placed does not keep others from starting
    Then a job whose data cannot be placed does not keep others from starting

  Scenario Outline: hosts idle for <idle> s, <seen> s after the first demand, go to standby: <go>
    Then hosts idle for <idle> s, <seen> s after the first demand, go to standby: <go>

    Examples:
      | idle | seen | go  |
      | 14   | 0.1  | no  |
      | 14   | 1.0  | yes |
      | 0.5  | 9.0  | no  |
      | 1.0  | 9.0  | yes |

  Scenario Outline: of <jobs> changed jobs, <commits> commits are under way at once
    Given <jobs> jobs have changed
    Then <commits> commits are under way at once, of <sizes> jobs

    Examples: up to four full batches beside each other
      | jobs | commits | sizes          |
      | 1    | 1       | 1              |
      | 20   | 1       | 15             |
      | 40   | 2       | 15, 15         |
      | 100  | 4       | 15, 15, 15, 15 |

  Scenario Outline: ends are reported once their effects are stored, while <change>
    Given 2 jobs have changed
    When they are stored, and meanwhile "<change>"
    Then the ends reported as stored after each commit are "<reports>"

    Examples:
      | change                                    | reports |
      | nothing comes                             | 1       |
      | another end comes for a job being written | 1; 1,2  |
      | another end comes for another job         | 1; 1,2  |

  Scenario: ends of a first batch wait for the second
    Given 20 jobs have changed
    When they are stored, and meanwhile "nothing comes"
    Then the ends reported as stored after each commit are "; 1"

  Scenario Outline: a job whose route was removed is lost by a new leader that knows it by <knowledge>: <effect>
    Then for a job of a removed route, known by "<knowledge>", "<effect>": "<holds>"

    Examples:
      | knowledge                                  | effect                                        | holds |
      | the job's record                           | a waiting task starts                         | yes   |
      | the job's record                           | the next step starts                          | yes   |
      | the job's record                           | a lasting task starts again                   | yes   |
      | the job's record                           | a task that failed once of twice starts again | yes   |
      | the job's record                           | a task that failed twice ends the job         | yes   |
      | the job's record                           | an overdue run is copied                      | yes   |
      | the job's record                           | its pool gets hosts                           | yes   |
      | the job's record                           | its objective sets its urgency                | yes   |
      | the job's record                           | it starts only with a ticket                  | yes   |
      | the job's record                           | it waits for the reports of its pool          | yes   |
      | the record of a node that asked the leader | a waiting task starts                         | yes   |
      | the record of a node that asked the leader | a task that failed once of twice starts again | yes   |
      | a configuration that the node has seen     | a waiting task starts                         | yes   |
      | a configuration that the node has seen     | a task that failed once of twice starts again | yes   |
      | a configuration that the node has seen     | it starts only with a ticket                  | yes   |
      | a configuration that the node has seen     | it waits for the reports of its pool          | yes   |
      | nothing                                    | a waiting task starts                         | no    |
      | nothing                                    | a task that failed twice ends the job         | no    |

  Scenario: a node forgets the queues of removed routes before it leads
    Then a node that saw a route removed knows the pool of its queue as the leader

  Scenario: a job stored with a queue that has moved starts in its former pool
    Then a job stored with its queue starts in the pool that its queue has now

  Scenario: a job of an unknown queue ends too early, or never, after its attempts
    Then a job of an unknown queue ends as failed once its queue is known

  Scenario Outline: in a rolling change, records of the <writer> version cannot be read
    Then a job's record and a route of the <writer> version are read by the other one

    Examples:
      | writer  |
      | present |
      | earlier |

  Scenario Outline: a step with advice waits for ever for workers that <case>
    Then a step with advice starts beside workers that "<case>", which are not asked for

    Examples: eight workers may not take the task, and four with more runs may
      | case                                 |
      | lack its label                       |
      | have no room                         |
      | run as many of its tasks as they may |
      | drain                                |
      | are of another pool                  |
      | failed runs                          |
      | are not free for a suspect task      |
      | run a suspect task                   |
      | run an unknown task                  |
      | yield to another pool                |
      | failed the task                      |
      | run the task that is copied          |

  Scenario Outline: a gang of <members> that needs more tickets than one call gives never starts
    Then a gang of <members> tasks with advice starts after <calls> calls

    Examples:
      | members | calls |
      | 6       | 1     |
      | 8       | 2     |
      | 12      | 2     |

  Scenario Outline: tickets are asked for again and again while <case>
    Then while "<case>", a step with advice causes <calls> calls

    Examples: each of twelve workers is named once, if any
      | case                        | calls |
      | no worker has its label     | 0     |
      | no worker has room          | 0     |
      | its gang finds no room      | 0     |
      | the policy allows no worker | 2     |

  Scenario Outline: answers that take <answer> s are spent on workers that may not take the task
    Then a step with advice starts if each answer takes <answer> s

    Examples: tickets are valid for 3 s
      | answer |
      | 0.01   |
      | 2.5    |
      | 9      |

  Scenario: steps with advice wait for ever beside workers that shrink, grow and drain
    Then steps with advice start beside workers that change, with the seeds 1 to 30

  Scenario: a step whose calls fail keeps the others from their turn
    Then steps with advice take turns while all calls fail

  Scenario Outline: three <kind> start again with <values> after <reports>
    Given three "<kind>" that save their progress have been started
    When workers report "<reports>"
    Then they start again with "<values>"

    Examples: members of a gang were started with unequal values, and ended alone for ever
      | kind              | values | reports                                                                                              |
      | members of a gang | b b b  | 0.1 lists a 10; 1.1 lists a 10; 2.1 lists a 10; 0.1 lists b 20; 1.1 lists b 20; 2.1 crashes; 0.1 ends broken b; 1.1 ends broken b |
      | members of a gang | b b b  | 0.1 lists a 10; 1.1 lists a 10; 2.1 lists a 10; 0.1 crashes; 2.1 ends broken b; 1.1 ends broken b |
      | members of a gang | a a a  | 1.1 lists a 10; all crashes                                                                          |
      | members of a gang | - - -  | 1.1 crashes; 0.1 ends broken -; 2.1 ends broken -                                                    |
      | members of a gang | a a a  | 0.1 lists a 10; 1.1 crashes; 0.1 ends broken -; 2.1 ends broken -                                    |

    Examples: a gang's value goes back to none that is older
      | kind              | values | reports                                                                                              |
      | members of a gang | b b b  | 0.1 lists b 20; 1.1 lists a 19; all crashes                                                          |
      | members of a gang | b b b  | 0.1 lists a 10; 1.1 lists b 10; all crashes                                                          |
      | members of a gang | b b b  | 0.1 lists a 10; 1.1 lists b 10; 0.1 lists a 10; all crashes                                          |
      | members of a gang | b b b  | 0.1 ends broken b; 1.1 lists a 10; 1.1 crashes; 2.1 crashes                                          |
      | members of a gang | b b b  | 0.1 ends stopped b; 1.1 ends broken a; 2.1 ends broken a                                             |
      | members of a gang | b b b  | 1.1 lists a 10; 0.1 ends lapsed b; 1.1 ends broken a; 2.1 crashes                                    |

    Examples: the newest start of a gang counts
      | kind              | values | reports                                                                                              |
      | members of a gang | b b b  | 0.1 lists a 10; all crashes; all starts; 2.2 lists b 20; all crashes                                 |
      | members of a gang | b b b  | 0.1 lists a 10; all crashes; all starts; 2.2 lists b 5; all crashes                                  |
      | members of a gang | b b b  | 0.1 lists a 10; 0.1 lapses; 1.1 crashes; 2.1 crashes; all starts; 1.2 lists b 20; 0.1 ends lapsed c; all crashes |
      | members of a gang | c c c  | 0.1 lists a 10; 0.1 lapses; 1.1 crashes; 2.1 crashes; all starts; 0.1 ends lapsed c; 1.2 lists a 12; all crashes |

    Examples: the leader changes
      | kind              | values | reports                                                                                              |
      | members of a gang | b b b  | 0.1 lists a 10; all is-inherited; 0.1 lists b 20; 1.1 lists a 12; 2.1 lists a 12; all crashes        |
      | members of a gang | c c c  | all is-inherited; 2.1 ends broken c; 0.1 lists b 20; 1.1 lists a 12; 0.1 crashes; 1.1 crashes        |
      | members of a gang | b b b  | 0.1 lists a 10; all is-handed-over; 2.1 lists b 20; all crashes                                      |
      | members of a gang | a a a  | all is-inherited; 2.1 ends alone a; 1.1 ends alone -; 0.1 ends alone -                               |
      | members of a gang | b b b  | all is-inherited; 2.1 lists b 20; 0.1 lists a 10; 0.1 ends alone a; 1.1 ends alone -; 2.1 ends alone b |

    Examples: other tasks keep values of their own
      | kind                        | values | reports                                                                                     |
      | tasks of a step             | b - c  | 0.1 lists a 10; 2.1 lists c 30; 0.1 lists b 20; all crashes                                 |
      | tasks of a step             | c - -  | 0.1 lists a 10; 0.1 ends stopped c; 1.1 ends failed -; 2.1 crashes                          |
      | tasks of a step             | b - -  | 0.1 lapses; 1.1 crashes; 2.1 crashes; all starts; 0.2 lists b 20; 0.1 ends lapsed a; all crashes |
      | tasks of a speculative step | c - -  | 0.1 lists a 10; 0.1 is-copied; 0.2 lists b 15; 0.1 lists c 30; all crashes                  |
      | tasks of a speculative step | b - -  | 0.1 lists a 10; 0.1 is-copied; 0.2 lists b 15; 0.1 lists a 30; all crashes                  |

  Scenario Outline: <kind> start again with <values>, though <late> comes between their starts
    Given three "<kind>" that save their progress have been started
    When workers report "0.1 lists a 10; 0.1 lapses; 1.1 crashes; 2.1 crashes"
    Then they start again with "<values>", though "<late>" comes in between

    Examples: the members of a gang are told to start at different moments
      | kind              | late               | values |
      | members of a gang | 0.1 ends lapsed b  | a a a  |
      | members of a gang | 0.2 lists b 20     | a a a  |
      | tasks of a step   | 0.1 ends lapsed b  | a - -  |
