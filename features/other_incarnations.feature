Feature: What belongs to one incarnation of a worker is not taken for another's

  Scenario Outline: two runs of a task on a worker that restarted, got <calls>, and was cut off
    Then a worker that restarts, gets "<calls>" and is cut off keeps its task

    Examples: the recorded longest lease begins with the first sending
      | calls                       |
      | a start that was sent again |

    Examples: a poll of the former incarnation is carried out late, before a raised token
      | calls                                          |
      | a start and a poll, and late a lost poll       |
      | a start while polls hang, and late a lost poll |

  Scenario Outline: an unseen end is acknowledged by a poll that is sent again (<ends> ends, <copies> copies)
    Then a poll that acknowledges <ends> ends is sent <copies> times: <outcome>

    Examples: its reused connection is reset, so that the second copy may reach a later incarnation
      | ends | copies | outcome   |
      | 57   | 1      | held-back |
      | 0    | 2      | done      |

  Scenario Outline: an unseen end is acknowledged by a poll that waited <seconds> s for a <kind> connection
    Then a poll that is sent on a <kind> connection after <seconds> s still acknowledges ends: <sent>

    Examples: the first packet is repeated after 1 s, and a later incarnation may accept it; a busy node is late on any
      | kind | seconds | sent |
      | new  | 0.01    | yes  |
      | new  | 0.2     | yes  |
      | new  | 1.0     | no   |
      | kept | 1.0     | yes  |

  Scenario Outline: an unseen end is acknowledged after a poll with outcome <outcome>
    Then a poll with outcome "<outcome>" is repeated at once, without acknowledging

    Examples: neither tells which incarnation the worker has now
      | outcome   |
      | held-back |
      | fence     |

  Scenario: a task is blamed for the crash of an incarnation that never ran it
    Then a task is not blamed for the crash of an incarnation that never ran it

  @known_red
  Scenario: a leader's barrier ends before a lease that the last poll of an earlier one gave
    Then a next leader waits for a lease that the last poll of an earlier one gave

  Scenario: a late answer of a former incarnation counts as another restart, as clocks were set back
    Then a late answer of the former incarnation is ignored, though its start is later

  Scenario: an end is acknowledged just after a start that a later incarnation has answered
    Then no end is acknowledged after a start that another clock has answered

  Scenario: a poll by the clock of a former incarnation gives the next one the longest lease
    Then a poll renews nothing after a start that another clock has answered

  Scenario: an end is acknowledged after a late answer of the former incarnation
    Then no end is acknowledged after a late answer of the former incarnation

  Scenario: ends of a worker that refuses starts are never acknowledged
    Then stored ends are still acknowledged after a start that was refused

  Scenario: a worker stays in doubt for as long as a poll waits there
    Then the poll that ends a doubt waits for nothing
