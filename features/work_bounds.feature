Feature: Accepted work never takes more memory than a leader has

  # Nothing bounded what callers could hand in: thirty submissions of one caller
  # ended each leader in turn, as each loaded the stored jobs again.
  Scenario Outline: with <held> held, a job of <size> bytes of queue <queue> is <answer>
    Given a bound of 1000000 bytes that 2 queues share
    When the leader reports "<held>"
    Then a job of <size> bytes of queue "<queue>" is "<answer>"

    Examples: a queue lends what it does not use, but for its share of a kept quarter
      | held               | size | queue | answer   |
      | nothing            | 5000 | a     | accepted |
      | a 670000           | 5000 | a     | accepted |
      | a 671000           | 5000 | a     | refused  |
      | a 671000           | 5000 | b     | accepted |
      | a 740000, b 120000 | 5000 | b     | accepted |
      | a 740000, b 121000 | 5000 | b     | refused  |
      | a 500000, b 171000 | 5000 | a     | refused  |
      | a 2000000          | 5000 | a     | refused  |
      | a 2000000          | 5000 | b     | accepted |

    Examples: large jobs leave room for small ones
      | held     | size   | queue | answer   |
      | nothing  | 700000 | a     | accepted |
      | nothing  | 751000 | a     | refused  |
      | a 350000 | 300000 | a     | accepted |
      | a 400000 | 300000 | a     | refused  |
      | a 600000 | 9000   | a     | accepted |
      | a 600000 | 10000  | a     | refused  |
      | a 671000 | 4500   | a     | accepted |

  Scenario Outline: a refused caller may try again after <seconds> s
    Given a bound of 1000000 bytes that 2 queues share
    When the leader reports "a 680000" and <rate> bytes freed a second
    Then a job of 5000 bytes of queue "a" may be sent again after <seconds> s

    Examples:
      | rate  | seconds |
      | 0     | 30      |
      | 100   | 30      |
      | 1000  | 10      |
      | 4000  | 3       |
      | 90000 | 1       |

  Scenario Outline: <bytes> of 100000 bytes that became free in <seconds> s count as <rate> a second
    Then <bytes> of 100000 bytes freed in <seconds> s are a rate of <rate> bytes a second

    Examples: an average over ten seconds
      | bytes | seconds | rate |
      | 0     | 10      | 0    |
      | -5000 | 10      | 0    |
      | 40000 | 10      | 2528 |
      | 40000 | 100     | 400  |

  Scenario Outline: a node counts what it has accepted itself <when>
    Given a bound of 200000 bytes that 2 queues share
    When the node accepts 16 jobs of 5000 bytes of queue "a" and "<when>"
    Then a job of 5000 bytes of queue "a" is "<answer>"

    Examples:
      | when                                            | answer   |
      | before the leader reports                       | refused  |
      | the leader reports 0 bytes at once              | refused  |
      | the leader reports 0 bytes after two seconds    | accepted |

  Scenario Outline: a submission of <what> beyond the bound is answered <status>
    Given a node whose accepted work has reached the bound
    When a caller submits "<what>"
    Then it is answered <status>, and stored: "<stored>"

    Examples:
      | what                                            | status | stored |
      | a new job                                       | 429    | no     |
      | a job that the leader knows                     | 200    | no     |
      | a job that is stored and the leader has not yet | 200    | no     |
      | a new job while the store is silent             | 504    | no     |
      | a new job of a queue that holds nothing         | 200    | yes    |

  Scenario Outline: the leader's figure after <event>
    Given a leader with a job of 3 steps of 100 tasks
    When this happens to it: "<event>"
    Then the leader reports <jobs> jobs and <occurrences> occurrences

    Examples:
      | event                          | jobs | occurrences |
      | nothing                        | 1    | 1           |
      | another one is accepted        | 2    | 2           |
      | it ends and is swept           | 1    | 0           |
      | it is repeated and 3 are due   | 1    | 3           |

  Scenario: heartbeats of leaders of earlier versions are read, and theirs by them
    Then a heartbeat without figures of work is read by this version
    And a heartbeat with figures of work is read by the earlier version
