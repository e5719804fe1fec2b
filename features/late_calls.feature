Feature: A call that is carried out late acts on no later incarnation of its worker

  Scenario Outline: after a restart under the same id, <event>: usable <usable>
    Then a worker that restarted under its id is usable after "<event>": "<usable>"

    Examples:
      | event                                                        | usable |
      | its first answer                                             | no     |
      | its first answer and a commit                                | no     |
      | a commit, and an answer to a call that was sent before       | no     |
      | a commit, and an answer to a call that was sent later        | yes    |
      | an answer to a later call, while the store is away           | no     |
      | a new key of its leader, and an answer to a later call       | yes    |
      | a second restart, and an answer to a call in between         | no     |
      | a second restart, a commit, and an answer to a later call    | yes    |
      | a new row for its id, and its first answer                   | no     |
      | a new row for its id, a commit, and an answer to a later call | yes    |

  Scenario Outline: a leader with token <present> whose call with token <refused> is refused as outdated steps down: <steps>
    Then a leader whose calls carry token <present> and one with token <refused> is refused steps down: "<steps>"

    Examples: tokens rise with the leader's commits, so that calls may overtake each other
      | present | refused | steps |
      | 30      | 30      | yes   |
      | 39      | 39      | yes   |
      | 39      | 30      | no    |
      | 39      | 38      | no    |

  Scenario Outline: a write that raises the tokens of workers is <answered>: the leader writes <writes> times, steps down: <steps>
    Then tokens are raised by <writes> writes when the first is "<answered>", the leader steps down: "<steps>"

    Examples:
      | answered                        | writes | steps |
      | stored                          | 1      | no    |
      | not answered                    | 2      | no    |
      | refused, another node leads     | 2      | yes   |

  Scenario: a poll that a later call has overtaken is repeated at once
    Then a poll that is refused with an earlier token counts as answered

  Scenario: a restarted worker is not polled without a pause while its token cannot be raised
    Then a restarted worker gets at most 3 polls in a row that wait for nothing, while the store is away

  Scenario Outline: a worker whose token was raised <delay> s after its restart may hold a lease from just before its answer
    Then a worker whose token was raised <delay> s after its restart may hold the longest lease from its answer on

    Examples: a late call of the earlier incarnation may have renewed it until then
      | delay |
      | 0     |
      | 3     |

  Scenario Outline: stored ends are acknowledged by <poll>: <acknowledged>
    Then stored ends are acknowledged by "<poll>": "<acknowledged>"

    Examples: where a worker may have restarted unnoticed, its numbers may mean other ends
      | poll                                                        | acknowledged |
      | a poll of a worker that answers                             | yes          |
      | a poll of a worker that did not answer the last one         | no           |
      | a question about its registration, which may be a later one | no           |

  Scenario Outline: a pace of <percent> percent that is answered "<answer>" counts as taken on: <taken>
    Then a filler whose pace of <percent> percent is answered "<answer>" counts as paced so: "<taken>"

    Examples: a later call overtook it, so that the worker did nothing
      | percent | answer | taken |
      | 0       | done   | yes   |
      | 0       | fence  | no    |

  Scenario Outline: a ticket for a worker is used after <event>: <used>
    Then a ticket for a worker is used after "<event>": "<used>"

    Examples: a ticket is valid during one life of its worker
      | event                             | used |
      | an answer of the same incarnation | yes  |
      | a restart of its worker           | no   |

  Scenario Outline: a <kind> that later calls overtake <overtaken> times is sent <sent> times
    Then a "<kind>" that later calls overtake <overtaken> times is sent <sent> times, each with the token of the last commit

    Examples:
      | kind  | overtaken | sent |
      | start | 0         | 1    |
      | start | 1         | 2    |
      | start | 9         | 3    |
      | stop  | 0         | 1    |
      | stop  | 1         | 2    |
      | pace  | 0         | 1    |
      | pace  | 2         | 3    |
      | poll  | 0         | 1    |

  Scenario Outline: an id whose row was removed <seconds> s ago is remembered: <remembered>
    Then an id whose row was removed <seconds> s ago is remembered: "<remembered>"

    Examples: late calls may still be carried out
      | seconds | remembered |
      | 12      | yes        |
      | 19      | yes        |
      | 21      | no         |
