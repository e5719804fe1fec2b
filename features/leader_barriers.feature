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
