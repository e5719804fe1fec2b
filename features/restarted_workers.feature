Feature: No task runs twice at once after a worker's restart under its old id

  # docs/incidents/two-runs-after-a-restart.md. The second incarnation answers starts
  # whose deadlines are by the former one's clock, and is cut off before its first list.
  # after_poll_s: from a long poll's arrival to the end of the first incarnation; the
  # others: from there to the return, from that to the registration and to the cut.
  Scenario Outline: <workers> workers of 4 return without memory; <leader>
    Given a fleet of 3 nodes and 4 hosts without a standby pool
    And a steady flow of jobs of long tasks
    When <workers> workers end <after_poll_s> s into a poll, are dark for <dark_s> s, register after <registration_s> s and are cut off after <cut_after_s> s while <leader>
    Then tasks of the second incarnations were alive when they were cut off
    And no task has run twice at once

    Examples: the lease on record ends before the one that was given
      | workers | after_poll_s | dark_s | registration_s | cut_after_s | leader               |
      | 1       | 0.2          | 0.4    | 1.5            | 0.7         | the leader stays     |
      | 2       | 0.2          | 0.4    | 1.5            | 0.7         | the leader stays     |
      | 1       | 0.2          | 0.4    | 1.5            | 0.7         | the leader is killed |
