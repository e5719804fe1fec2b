Feature: A wave keeps its limit when orders are answered late

  # Hosts counted as down from the plan on, not from when their maintenance may have
  # begun: with slow answers 4 of 2 were down (review/13).
  Scenario Outline: maintenance whose order is answered "<answer>" after <delay> s
    Given a wave of 4 idle hosts of which 2 may be down
    When the first orders are answered "<answer>" after <delay> s
    Then <early> further hosts are ordered <before> s after them, and <late> after <after> s

    Examples: maintenance takes 2 s
      | answer     | delay | before | early | after | late |
      | done       | 0.0   | 2.3    | 0     | 2.6   | 2    |
      | done       | 0.8   | 3.0    | 0     | 3.4   | 2    |
      | no answer  | 1.0   | 3.2    | 0     | 3.6   | 2    |
      | busy       | 0.8   | 1.0    | 2     | 1.4   | 2    |
