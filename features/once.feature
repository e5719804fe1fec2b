Feature: A request that may not be repeated runs at most once

  Scenario Outline: keyed charges under caller retries and <trouble>
    Given a running cluster of <user>
    And every backend server answers with these faults
      | late | late_s | crossed | truncated | dropped | seed   |
      | 0.01 | 3.0    | 0.01    | 0.01      | 0.03    | <seed> |
    When 2000 keyed charges are sent with seed <seed> under "<trouble>"
    Then no key ran twice
    And every failure's outcome agrees with the servers' run counts
    And at least 85 percent were answered in time

    Examples:
      | user      | seed | trouble               |
      | kapu      | 21   | lost platform answers |
      | kapu      | 22   | an entry kill         |
      | kapu      | 23   | a paused entry        |
      | authority | 24   | a platform outage     |

  Scenario: a key that ran gets its stored answer, and a key in use is refused
    Given a running cluster of kapu
    When a charge with the key "k-1" is sent to "entry-1"
    And the same charge is sent again to "entry-5"
    Then both got the same body and the second is marked as replayed
    And the key "k-1" ran once
    When two charges with the key "k-2" are sent at once to "entry-2" and "entry-6"
    Then one is answered and the other is refused as in use
    And the key "k-2" ran once

  Scenario: a request whose key cannot be claimed is answered not-run
    Given a running cluster of kapu
    And the platform is down
    When a charge with the key "k-3" is sent to "entry-1"
    Then it is answered with status 503, outcome "not-run" and reason "key-unclaimed"
    And a charge without a key is answered with status 200
    And the key "k-3" ran 0 times

  Scenario Outline: a claim is recorded elsewhere only if its writer never got it: the writer <does>
    Given a claim controller whose writer <does>
    When a key is claimed through it
    Then the claim is "<verdict>" and its own log contains "<own>"
    And the writer was sent "<sent>"

    Examples:
      | does             | verdict     | own     | sent              |
      | does not answer  | unavailable | nothing | claimed, released |
      | is cut off       | granted     | claimed | nothing           |

  Scenario: a settlement that its writer did not answer is written here on a stop
    Given a claim controller whose writer does not answer
    When a key is claimed through it, and the entry host stops
    Then the claim is "unavailable" and its own log contains "released"

  # Entry hosts that wrote settlements themselves kept the writer from writing claims.
  Scenario Outline: claims do not collapse after an outage of <outage> s with a writer at <delay> ms
    Given entry hosts whose writer needs <delay> ms more for a call to the platform
    When 200 keyed requests a second arrive and the platform is down for <outage> s
    Then each claim is decided within 2 s
    And 95 percent of the requests are granted from 1 s after the outage

    Examples:
      | outage | delay |
      | 0      | 150   |
      | 2      | 20    |
      | 2      | 80    |
      | 2      | 150   |
      | 8      | 80    |

  Scenario Outline: the records in the log decide a claim
    Given a claim index with "<history>"
    When the key is claimed with token "<token>" after <seconds> seconds
    Then the verdict is "<verdict>"

    Examples:
      | history                   | token | seconds | verdict |
      | nothing                   | a     | 0       | granted |
      | a claims                  | a     | 1       | granted |
      | a claims                  | b     | 1       | in-use  |
      | a claims                  | b     | 9       | unknown |
      | a claims, a ran           | b     | 1       | ran     |
      | a claims, a released      | b     | 1       | granted |
      | a claims, b released      | b     | 1       | in-use  |
      | a claims, a unknown       | b     | 1       | unknown |
      | a claims, b claims        | a     | 1       | granted |
      | a claims, a ran, a released | b   | 1       | ran     |

  Scenario: a caller whose kept-alive connection ends does not send the same request again
    Given an entry that reads a second request on a kept-alive connection and exits
    When a caller sends 2 charges to it, and then to another entry
    Then each charge was read once, and the second one counts as cut
