Feature: No task has two runs at a time, whatever fails

  # Whole nodes, in virtual time, against simulated workers that check the rule TWICE.
  # A failing row prints the two runs and what was decided on their task.
  Scenario Outline: random faults, <seeds> seeds from <first>
    When <seeds> seeds from <first> are played in virtual time
    Then no task had two runs at a time, nor a start after its noted end

    Examples:
      | first | seeds |
      | 1     | 12    |
      | 1000  | 12    |
      | 3000  | 12    |

    Examples: a start reached the next incarnation; a queue moved behind the barrier
      | first | seeds |
      | 1243  | 1     |
      | 2084  | 1     |

  Scenario Outline: directed faults "<case>", <seeds> seeds from <first>
    When <seeds> seeds from <first> of the case "<case>" are played in virtual time
    Then no task had two runs at a time, nor a start after its noted end

    Examples:
      | case                 | first | seeds |
      | queued-start         | 1     | 2     |
      | job-behind-barrier   | 1     | 4     |
      | adopted-lease        | 1     | 4     |
      | leader-came-and-went | 1     | 4     |
      | earlier-answer       | 1     | 2     |
      | stored-for-earlier   | 1     | 2     |
      | unlisted-worker      | 1     | 4     |

    Examples: two runs at a time, or a start after a noted end, before their mends
      | case            | first | seeds |
      | start-at-next   | 10    | 1     |
      | moved-queue     | 6     | 1     |
      | second-copy     | 13    | 1     |
      | odd-writer      | 5     | 1     |
      | changed-address | 1     | 1     |
      | late-to-next    | 14    | 1     |

    Examples: a late start or poll acted on the next incarnation of its worker
      | case         | first | seeds |
      | late-to-next | 28    | 1     |
      | late-wide    | 1     | 10    |
      | late-wide    | 22    | 1     |
      | late-busy    | 3     | 1     |

    Examples: a call with a raised token came between two copies of a start
      | case           | first | seeds |
      | overtaken-copy | 7     | 1     |

    Examples: a poll acknowledges ends of an incarnation that the leader does not know of
      | case                  | first | seeds |
      | early-acknowledgement | 9     | 1     |

    @known_red
    Examples: a late start reaches an incarnation that no call has reached yet
      | case      | first | seeds |
      | late-wide | 17    | 1     |
      | late-wide | 21    | 1     |
      | late-wide | 34    | 1     |
      | late-wide | 38    | 1     |
      | late-wide | 43    | 1     |

    Examples: a worker is reborn and cut off, and its leader is lost
      | case                           | first | seeds |
      | cut-after-restart-and-takeover | 1     | 3     |

    Examples: its leader's next process answers while the successor holds tasks back
      | case                         | first | seeds |
      | cut-after-restart-and-return | 1     | 4     |
      | unreached-but-by-lost-leader | 1     | 8     |
      | unreached-but-by-lost-leader | 11    | 3     |

    Examples: a replaced leader acts on; its successor waits for leases no longer than they last
      | case                           | first | seeds |
      | unreached-but-by-cut-leader    | 6     | 3     |
      | unreached-but-by-frozen-leader | 6     | 4     |
      | cut-leader-after-outage        | 25    | 4     |

    Examples: a campaign came due to the very moment, again and again
      | case                        | first | seeds |
      | unreached-but-by-cut-leader | 17    | 1     |

    Examples: a worker is reborn and cut off before a list of it is applied
      | case                           | first | seeds |
      | cut-after-restart              | 1     | 12    |
      | cut-after-restart-and-handover | 1     | 8     |
      | cut-after-restart-and-takeover | 4     | 10    |
      | cut-after-restart-late-calls   | 1     | 8     |
      | cut-after-quick-restart        | 1     | 12    |

    Examples: a poll opened to a dark worker is refused, and the next one forgets ends
      | case              | first | seeds |
      | opened-while-dark | 19    | 1     |
      | opened-while-dark | 28    | 6     |

    Examples: a late start and a late poll reach a reborn worker that is cut off
      | case             | first | seeds |
      | late-and-cut-off | 156   | 1     |

    @known_red
    Examples: a late start reaches a reborn worker that is cut off
      | case             | first | seeds |
      | late-and-cut-off | 33    | 1     |

  Scenario Outline: wide schedules of late calls, <seeds> seeds from <first>
    When <seeds> seeds from <first> of the wide schedules are played in virtual time
    Then no task had two runs at a time, nor a start after its noted end

    Examples: late starts and polls acted on the next incarnation of their worker
      | first | seeds |
      | 43    | 1     |
      | 1     | 3     |
      | 7     | 4     |

    @known_red
    Examples: a late start reaches an incarnation that no call has reached yet
      | first | seeds |
      | 4     | 1     |
      | 6     | 1     |
      | 21    | 1     |
      | 35    | 1     |
      | 38    | 1     |
      | 55    | 1     |

  Scenario Outline: a run that may be at work stays in the tables: <event>
    Given a worker with a run that was answered 0.1 s ago
    When the tables learn of it: "<event>"
    Then the run is still in the tables

    Examples:
      | event                                            |
      | its registration has a later birth               |
      | its registration has another address             |
      | a later worker of an unnamed pool names its host |

  Scenario: a start that waits for a connection is not sent once its run is forgotten
    Given a worker with a start that waits for a connection
    When the worker comes back as a later incarnation and is usable again
    Then the start is not sent, or its run is still in the tables
