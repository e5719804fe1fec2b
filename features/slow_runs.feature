Feature: Runs are judged by the progress that their leader has watched

  Scenario Outline: <history> runs on a worker that <worker>, beside others far on, crawl: <stopped>
    Given four workers of a pool whose runs are "<history>", those on three of them far on
    When the first worker, which "<worker>", is watched for 3 s
    Then the first worker's runs are stopped as crawling: "<stopped>"
    And it is suspect: "<stopped>"
    And nothing else is stopped

    Examples:
      | history     | worker                                                  | stopped |
      | own         | is sound                                                | no      |
      | adopted     | is sound                                                | no      |
      | handed over | is sound                                                | no      |
      | resumed     | is sound                                                | no      |
      | restarted   | is sound                                                | no      |
      | own         | is slow                                                 | yes     |
      | adopted     | is slow                                                 | yes     |
      | handed over | is slow                                                 | yes     |
      | resumed     | is slow                                                 | yes     |
      | own         | is slow, with one job                                   | yes     |
      | own         | is slow, with a job that two others run                   | yes     |
      | own         | is sound, with a job of 12 times its estimate           | no      |
      | adopted     | is sound, with a job of 12 times its estimate           | no      |
      | handed over | is sound, with a job of 12 times its estimate           | no      |
      | resumed     | is sound, with a job of 12 times its estimate           | no      |
      | own         | is sound, as two others, with a job of 12 times its estimate | no    |

  Scenario: a job of 12 times its estimate, alone on its worker, is moved once
    Given four workers of a pool whose runs are "own", those on three of them far on
    When the first worker, which "is sound, with nothing but a task of 12 times its estimate", is watched for 3 s
    Then the first worker's runs are stopped as crawling: "yes"
    When its task starts on a worker without other runs, and is watched for 3 s
    Then nothing else is stopped

  Scenario: a run that was handed over and is not listed yet does not stand still
    Given four workers of a pool whose runs are "handed over", those on three of them far on
    When the workers have answered, but not listed their runs
    Then nothing else is stopped

  Scenario Outline: the duration of a run that was <history> is learned as <factor> times the declared one
    When a run that was "<history>" ends as done 0.25 s after a takeover
    Then its queue's tasks count as <factor> times as long as declared

    Examples:
      | history                               | factor |
      | adopted                               | 1      |
      | handed over, begun at an unknown time | 1      |
      | handed over after 0.75 s              | 1.1    |
