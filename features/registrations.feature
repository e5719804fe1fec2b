Feature: A worker gets runs only by the registration of the incarnation that answers

  Scenario Outline: a worker of kind a <event>: a task that needs kind <kind> starts on it: <starts>
    Then after a worker of kind a "<event>", a task that needs kind "<kind>" starts on it: "<starts>"

    Examples: watches may tell of a registration later than the worker answers
      | event                                                 | kind | starts |
      | goes on                                               | a    | yes    |
      | goes on                                               | b    | no     |
      | is back as kind b, not registered yet                 | a    | no     |
      | is back as kind b, not registered yet                 | b    | no     |
      | is back as kind b, and registers                      | a    | no     |
      | is back as kind b, and registers                      | b    | yes    |
      | registers as kind b, and then is back                 | a    | no     |
      | registers as kind b, and then is back                 | b    | yes    |
      | registers as kind b, and has not answered since       | a    | no     |
      | registers as kind b, and has not answered since       | b    | no     |
      | registers as kind b, and answers an earlier call      | a    | no     |
      | registers as kind b, and answers an earlier call      | b    | no     |
      | is back with its clock set back, not registered yet   | a    | no     |
      | is back with its clock set back, and registers        | b    | yes    |
      | is back a second time, registered as of the first     | b    | no     |
      | is back, and the former registration is read once more | a   | no     |

    Examples: a new leader knows a registration only
      | event                                                 | kind | starts |
      | is back as kind b, and a new leader reads before      | a    | no     |
      | is back as kind b, and a new leader reads before      | b    | no     |
      | is back as kind b, and a new leader reads after       | a    | no     |
      | is back as kind b, and a new leader reads after       | b    | yes    |

    Examples: a registration whose birth no answer ever names keeps no worker out for good
      | event                                                 | kind | starts |
      | is registered anew with a later birth, and answers    | b    | yes    |
      | is registered anew without a birth                    | b    | yes    |

  Scenario Outline: a worker that is back with <change>, not registered yet, gets a task of <cores> cores that needs kind <kind>: no
    Then a worker that is back with "<change>" gets a task of <cores> cores that needs kind "<kind>" only once it has registered

    Examples: what the former incarnation could take, and the next one cannot or may not
      | change       | cores | kind |
      | another kind | 1     | a    |
      | less room    | 16    | a    |
      | another pool | 1     | a    |

  Scenario Outline: a registration of an earlier birth, <seconds> s old while <store>, counts as the worker's: <counts>
    Then a registration of an earlier birth counts as the worker's after <seconds> s while "<store>": "<counts>"

    Examples: that of an ended incarnation stays listed for up to 6 s while the store answers
      | seconds | store                                     | counts |
      | 5.5     | the store answers                         | no     |
      | 8.0     | the store answers                         | yes    |
      | 8.0     | the store answers, it is read once more   | yes    |
      | 8.0     | the store answers, the worker does not    | no     |
      | 8.0     | the store answers, reads of workers fail  | no     |
      | 8.0     | the store does not answer                 | no     |
      | 8.0     | the store answers again since 3 s         | no     |
      | 8.0     | the store answers, the worker is back again after 5 s | no |

  Scenario Outline: <seconds> s after a worker <event>, registrations have been read again <reads> times
    Then <seconds> s after a worker of kind a "<event>", registrations have been read again <reads> times

    Examples:
      | seconds | event                                            | reads |
      | 0.3     | is back as kind b, not registered yet            | 0     |
      | 0.7     | is back as kind b, not registered yet            | 1     |
      | 2.2     | is back as kind b, not registered yet            | 4     |
      | 2.2     | is back as kind b, and registers                 | 0     |
      | 2.2     | registers as kind b, and has not answered since  | 0     |
      | 2.2     | goes on                                          | 0     |
