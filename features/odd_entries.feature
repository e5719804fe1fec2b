Feature: An odd entry of another writer names no worker and ends nothing

  # "It names no worker to use; the others hold" (published protocol).
  Scenario Outline: an entry with <fault> names no worker to use
    Given a registered worker
    When an entry with "<fault>" is read under another id
    Then only the registered worker is known, unchanged

    Examples:
      | fault                           |
      | a value nested 200000 deep      |
      | bytes that are not UTF-8        |
      | a number of 1e400               |
      | port 99999                      |
      | port 65536                      |
      | port 0                          |
      | port -1                         |
      | no port                         |
      | a port of 100000 digits         |
      | an empty address                |
      | a host name                     |
      | an octet over 255               |
      | an address of three octets      |
      | an address in hexadecimal       |
      | a space after the address       |
      | a line end after the address    |
      | a path after the address        |
      | a user before the address       |
      | digits of another script        |
      | a processor share of 10^400     |
      | memory of 10^30                 |
      | a negative processor share      |
      | negative memory                 |
      | negative accelerators           |
      | born of 10^30                   |
      | born of -1                      |
      | born of 1.5                     |
      | remaining time of 10^30         |
      | a remaining time of -10^30      |
      | a warm-up of 10^30              |
      | a service of 100000 characters  |
      | a label of 100000 characters    |
      | 100000 labels                   |
      | an unknown state                |
      | a state that is a number        |
      | an id with a line end           |
      | an id with a null byte          |
      | an id that is not ASCII         |
      | an empty id                     |

  Scenario Outline: an entry with <fault> over that of a worker leaves the worker as it was
    Given a registered worker
    When an entry with "<fault>" is read under its own id
    Then only the registered worker is known, unchanged
    And a later valid entry of its id is applied

    Examples:
      | fault                       |
      | a value nested 200000 deep  |
      | bytes that are not UTF-8    |
      | port 99999                  |
      | an empty address            |
      | a host name                 |
      | a processor share of 10^400 |
      | a negative processor share  |
      | born of 10^30               |
      | remaining time of 10^30     |
      | an unknown state            |

  Scenario Outline: an odd id's later valid entry is used after <fault>
    Given a registered worker
    When an entry with "<fault>" is read under another id
    Then a later valid entry of the other id is applied

    Examples:
      | fault         |
      | port 99999    |
      | born of 10^30 |

  Scenario Outline: an entry with <form> is used
    Given a registered worker
    When an entry with "<form>" is read under another id
    Then both workers are known

    Examples:
      | form                       |
      | port 1                     |
      | port 65535                 |
      | the highest octets         |
      | no capacity at all         |
      | 10^9 cores                 |
      | no birth                   |
      | a birth in 2100            |
      | a remaining time of 0      |
      | a remaining time of -5     |
      | unknown fields             |

  Scenario: an odd entry is logged once for each fault, not at each beat
    Given a registered worker
    When entries with "port 99999, port 99999, port 99999, born of 10^30, born of 10^30" are read under another id
    Then 2 lines of the log name the other id

  Scenario: 3000 entries with odd values in any field leave the others usable
    Then 3000 entries with odd values, seed 11, change nothing but what they may name

  Scenario Outline: <record> is not used
    Then "<record>" of another writer is not used

    Examples:
      | record                          |
      | a leader at port 99999          |
      | a leader without an address     |
      | a leader of epoch 2^64 - 1      |
      | a leader of epoch -1            |
      | a node at port 99999            |
      | a node of NaN cores             |
      | a node with an infinite link    |
      | an epoch of 10^400              |
      | an epoch of -1                  |
      | a wave of number -1             |
      | a wave of number 10^30          |
      | a wave that lasts 10^300 s      |
      | a wave with a cap of 10^30      |
      | a job of 10^12 tasks            |
      | a job with a negative step      |
      | progress begun at NaN           |
      | a worker's clock at 10^300      |
      | a worker's run of 10^30         |
      | a worker's run of -1            |
      | an end numbered 10^30           |
      | a handed-over lease of NaN      |
      | a handed-over run of 2^64 - 1   |

  Scenario: an item of the members that cannot be applied does not end their watch
    When a node reads three changes of the leader, of which the second cannot be applied
    Then it has applied the other two

  Scenario Outline: a node leads although the leader's key <state>
    Given a store whose leader's key "<state>"
    When a node campaigns until it has written the leader's key
    Then it leads

    Examples:
      | state             |
      | is absent         |
      | cannot be decoded |
      | names port 99999  |

  Scenario: a leader whose key another writer replaced goes on leading
    Given a store whose leader's key "is absent"
    When a node leads and its key is replaced by bytes that cannot be decoded
    Then it leads under a later token without having stopped

  Scenario: an odd row of the list of hosts does not hide the others
    Given a list of hosts on two pages
    When a row of the first page turns odd
    Then all hosts are known, the odd one as it was

  Scenario: an odd wave is logged once and does not hide the others
    When waves are read 3 times, of which the first is odd
    Then the others are known and the odd one is logged once

  Scenario Outline: a job whose stored progress has <fault> does not hide the others
    When three jobs are loaded, of which the second has progress with "<fault>"
    Then the other two jobs are loaded and the leader goes on

    Examples:
      | fault                     |
      | a step that is not there  |
      | a task that is not there  |
      | a name without a step     |
      | a negative index          |

  Scenario Outline: odd entries <where> end no node and stop no job
    Given odd entries written <when> a fleet of 2 nodes and 3 hosts starts
    When 12 jobs are submitted and odd entries "<where>" are written halfway
    Then all accepted jobs are completed within 25 seconds
    And no task ran twice
    And no node has ended, lost the lead or stopped to answer for its metrics

    Examples:
      | when   | where                       |
      | before | nowhere                     |
      | after  | beside those of the workers |
      | after  | over those of the workers   |
