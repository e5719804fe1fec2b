Feature: A new leader waits for the calls of earlier ones no longer than they may count

  Scenario Outline: a lasting job of a lost worker's pool; <answers> after <at> s
    Then a lasting job of a silent worker's pool starts <after> s after a takeover, if "<answers>" answers after <at> s

    Examples: the longest lease follows the last call that may arrive
      | answers          | at  | after |
      | its next process | 0.5 | 8.5   |
      | its next process | 1.0 | 9.0   |
      | its next process | 3.0 | 11.0  |

    Examples: never later than without an answer
      | answers          | at  | after |
      | nobody           | 0.0 | 12.2  |
      | its next process | 5.0 | 12.2  |

    Examples: the replaced leader may still run
      | answers                        | at  | after |
      | the leader itself, awake again | 0.5 | 12.2  |
      | the leader itself, awake again | 4.0 | 12.2  |
      | a machine of another name      | 0.5 | 12.2  |

  Scenario Outline: a lasting job of a lost worker's pool, the next process answers; <history>
    Then a lasting job of a silent worker's pool starts <after> s after a takeover, if "its next process" answers after 0.5 s and "<history>"

    Examples: a later incarnation of a worker may carry out starts late
      | history                    | after |
      | the worker still registers | 12.2  |
      | the job ends by itself     | 12.2  |
      | no start was answered      | 12.2  |

    Examples: one answer says nothing of other earlier leaders
      | history                                              | after |
      | the replaced leader's record tells of an earlier one | 11.1  |
      | another leader was not seen                          | 12.2  |
      | the replaced leader's key had vanished               | 8.5   |

  # Lasting tasks stood still for 12.2 s more if the leader was lost soon after their worker
  # and gave no proof of its end (rule LOST).
  Scenario Outline: a lasting job of a lost worker's pool; its leader <fault>; <reports>
    Then a lasting job of a silent worker's pool starts <after> s after a takeover from a leader that "<fault>", if "<reports>"

    Examples: no lease outlives the leader's authority; no start comes long after the takeover
      | fault                          | reports            | after |
      | loses power for 1 s            | all deny an outage | 8.5   |
      | is killed                      | all deny an outage | 8.3   |
      | loses power for 14 s           | all deny an outage | 8.9   |
      | is replaced by another machine | all deny an outage | 8.9   |
      | freezes for 2 s                | all deny an outage | 8.9   |
      | freezes for 4 s                | all deny an outage | 8.9   |
      | is cut off                     | all deny an outage | 8.9   |
      | is gone                        | all deny an outage | 8.9   |

    Examples: in an outage that most nodes report, leases outlive their leader's authority
      | fault           | reports                                     | after |
      | freezes for 2 s | all reported an outage just before          | 9.5   |
      | freezes for 2 s | all reported an outage 1 s before           | 8.9   |
      | is cut off      | all reported an outage to it afterwards     | 10.5  |
      | is cut off      | this node reported an outage just before    | 8.9   |
      | is cut off      | three of seven answer, with it              | 12.2  |
      | is cut off      | four of seven answer, with it               | 8.9   |
      | is cut off      | all are of an earlier version               | 12.2  |

  Scenario Outline: a lasting job of a lost worker's pool, all nodes deny an outage; <history>
    Then a lasting job of a silent worker's pool starts <after> s after a takeover, if all nodes deny an outage and "<history>"

    Examples: a later incarnation of a worker may carry out starts late
      | history                    | after |
      | the worker still registers | 12.2  |
      | the job ends by itself     | 12.2  |
      | no start was answered      | 12.2  |

    Examples: what the nodes say is not of all leaders, or not known to all of them
      | history                                              | after |
      | the replaced leader is of an earlier version         | 12.2  |
      | the replaced leader's record tells of an earlier one | 8.9   |
      | another leader was not seen                          | 12.2  |
      | the replaced leader's key had vanished               | 8.9   |
      | most nodes joined just before                        | 12.2  |

    Examples: until its lease has ended, the replaced leader may renew it
      | history                                    | after |
      | the end of its lease is answered after 1 s | 9.9   |
      | the end of its lease is never answered     | 12.2  |

  Scenario Outline: the last poll of a leader that has ended arrives at its timeout, at <at> s
    Then a lasting job waits for the lease of the last poll of a leader whose next process answers after <at> s

    Examples: it may renew a lease by the clock of a worker's former incarnation
      | at  |
      | 0.5 |
      | 2.0 |
      | 4.0 |

  Scenario Outline: who answers at an address: <state>
    Then at an address with "<state>" the incarnation "<incarnation>" answers

    Examples: a process that sleeps accepts connections and says nothing
      | state              | incarnation      |
      | a process          | incarnation-next |
      | a sleeping process | none             |
      | nothing            | none             |

  # What a leader gives beyond its authority, its successor has to wait for (rule LOST).
  Scenario Outline: a leader whose last answered renewal is <age> s old; <reports>
    Then a leader whose last answered renewal is <age> s old gives a lease of <lease> s, starts tasks: "<starts>", if "<reports>"

    Examples: a lease ends with the authority, and no start comes long after a takeover
      | age | reports                  | lease | starts |
      | 0.2 | nobody reports an outage | 4.5   | yes    |
      | 1.9 | nobody reports an outage | 3.87  | yes    |
      | 2.1 | nobody reports an outage | 3.68  | no     |
      | 5.0 | nobody reports an outage | 0.83  | no     |

    Examples: runs outlive an outage that most nodes report
      | age | reports                                         | lease | starts |
      | 5.0 | three of seven nodes, with it, report an outage | 0.83  | no     |
      | 5.0 | four of seven nodes, with it, report an outage  | 6.0   | yes    |
      | 6.0 | four of seven nodes, with it, report an outage  | 0.0   | no     |
      | 5.0 | four reported an outage 1 s before              | 0.83  | no     |
      | 5.0 | four reported an outage while it was frozen     | 0.83  | no     |
      | 5.0 | four nodes that have left report an outage      | 0.83  | no     |

  Scenario Outline: a node says when it last reported an outage; answers were <ages> s old
    Then a node whose heartbeats, one a second, had answers "<ages>" s old says "<age>"

    Examples:
      | ages                    | age  |
      | 0.1, 0.2, 0.9           | none |
      | 0.1, 1.2, 2.2, 0.1, 0.1 | 2.0  |
      | 0.1, 1.2                | 0.0  |
