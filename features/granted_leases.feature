Feature: A task does not start again while its worker may hold a lease by another clock

  Scenario Outline: two runs of a task on a worker that restarted under its id, got <calls>, and was cut off
    Then a worker that gets "<calls>" and is cut off keeps its tasks until they lapse

    Examples: deadlines by the clock of the former incarnation make the next one grant the longest lease
      | calls                                         |
      | a start, which it answers                     |
      | a start, which it answers, while polls hang   |
      | a start, whose answer is lost                 |
      | a start, and a poll whose answer is lost      |
      | a poll, and then a start that was sent before |

  Scenario Outline: two runs of a task whose lease was handed over after <calls>
    Then a leader that hands over after "<calls>" hands over all of the leases

    Examples:
      | calls                                         |
      | a start, which it answers                     |
      | a start, which it answers, while polls hang   |
      | a start, whose answer is lost                 |
      | a start, and a poll whose answer is lost      |
      | a poll, and then a start that was sent before |

  Scenario Outline: a task waits too long for the lease of a worker that got <calls>
    Then a worker that gets "<calls>" and is cut off has its tasks freed at most <seconds> s after they lapse

    Examples: the clock of the incarnation that runs it is known
      | calls                                          | seconds |
      | a start and a poll, without a restart          | 1.1     |
      | a start after its last poll, without a restart | 1.1     |

  Scenario Outline: tasks wait for the lease of a silent worker (a start <outcome>, a list afterwards: <listed>)
    Then after a start "<outcome>", listed later: "<listed>", its task is free: "<free>", its worker usable: "<usable>"

    Examples: a call that was never sent reached nobody; a worker in doubt gets no further starts until it answers
      | outcome             | listed | free | usable |
      | that was answered   | no     | no   | yes    |
      | that was never sent | no     | yes  | no     |
      | that was never sent | yes    | yes  | yes    |
      | without an answer   | no     | no   | no     |
      | without an answer   | yes    | no   | yes    |
