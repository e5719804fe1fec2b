Feature: An accepted configuration is in force everywhere and never reverts

  Scenario Outline: two operators race
    Given a running cluster of kapu
    When two operators race to apply "<first>" and "<second>"
    Then <winners> of them succeed and the others get "<message>"
    And the committed tables contain exactly the edits that succeeded

    Examples:
      | first                      | second                     | winners | message                |
      | fees-charge weight 5       | jury-vote weight 6         | 2       |                        |
      | fees-charge weight 5       | fees-charge weight 6       | 1       | configuration-conflict |

  Scenario Outline: the platform fails while an operator applies
    Given a running cluster of kapu
    When an operator applies "fees-charge weight 7" while the platform <fault>
    Then the command ends with status <status> and says "<message>"
    And repeating the command after the fault ends with status 0
    And the weight of "fees-charge" is 7, from exactly one commit
    And every entry host has the newest generation in force

    Examples:
      | fault                                | status | message              |
      | loses the answer to the head write   | 0      | committed generation |
      | loses the answer to the commit write | 0      | committed generation |
      | is down                              | 1      | platform-unavailable |

  Scenario: a stream of changes is in force everywhere within 7 seconds
    Given a running cluster of kapu
    When 100 changes are committed at 2 a second, and the platform reader of "szeged" is killed meanwhile
    Then each change was in force on every live entry host within 7 seconds
    And no entry host ever went back to an older generation

  Scenario: an entry starts from its peers while the platform is down
    Given a running cluster of kapu
    And the platform is down
    When the entry host "entry-7" is replaced by a fresh one
    Then "entry-7" serves requests at the generation of its peers

  Scenario: a platform that comes back with an older configuration is reported, not followed
    Given a running cluster of kapu
    And the weight of "fees-charge" was raised 3 times
    When the platform comes back empty
    Then every entry host still has generation 4 in force
    And the managers that read the platform report an older head
    And apply ends with status 1 and says "configuration-older"
    And apply with "--recover" ends with status 0 and says "committed generation 5"
    And the weight of "fees-charge" is 30, from exactly one commit
    And every entry host has the newest generation in force

  Scenario Outline: tables merge by row
    Given a base table with rows a, b and c
    When the other operator "<theirs>" and this one "<mine>"
    Then the merge gives "<result>"

    Examples:
      | theirs   | mine     | result       |
      | edits a  | edits b  | changes b    |
      | edits a  | edits a  | conflict a   |
      | deletes a| edits a  | conflict a   |
      | adds d   | edits b  | changes b    |
      | adds d   | deletes c| deletes c    |
      | edits a  | nothing  | nothing      |
      | deletes a| nothing  | nothing      |

  Scenario Outline: a manager that does not rank first reads if <case>: <reads>
    Then a manager that does not rank first reads if "<case>": <reads>

    Examples: silent after 2 s, with a jitter of 0.5 s
      | case                                 | reads |
      | its reader answers                   | no    |
      | its reader has been silent for 2.3 s | no    |
      | its reader has been silent for 2.6 s | yes   |
      | no reader was ever known             | yes   |

  Scenario Outline: a manager whose peer moves from <old> to <new> links to <new>
    Then a manager whose peer moves from "<old>" to "<new>" links to "<new>"

    Examples:
      | old       | new       |
      | 127.0.0.2 | 127.0.0.2 |
      | 127.0.0.2 | 127.0.0.3 |
