Feature: Jobs are placed, start in time and end in the right state

  Scenario Outline: urgent jobs start within 1.5 s under <flood>
    Given a job fleet of <hosts> workers with seed <seed>
    When urgent jobs arrive for 60 seconds under "<flood>"
    Then 99 percent of the urgent jobs started within 1.5 seconds
    And no job that may run only once ran twice and no quota was exceeded

    Examples:
      | hosts | seed | flood                                        |
      | 6     | 1    | a flood of background jobs                   |
      | 6     | 2    | a flood of background jobs                   |
      | 6     | 3    | a flood and a wave of cancellations          |
      | 6     | 4    | a flood and a wave of cancellations          |
      | 6     | 5    | a flood that fills the memory                |
      | 60    | 6    | a flood and a wave of cancellations          |

  Scenario Outline: declared sizes that are <wrong> cost little completed work
    Then declared sizes "<wrong>" complete at least 90 percent of the work that true sizes complete with seed <seed>

    Examples:
      | wrong                               | seed |
      | five times too large                | 1    |
      | five times too small                | 1    |
      | up to five times too large or small | 1    |
      | up to five times too large or small | 2    |

  Scenario: a job that can never run ends with a verdict
    Given a job fleet of 6 workers with seed 1
    When a job that fails on every worker and 50 that do not are submitted
    Then the first ends as "failed" with the verdict "fails-everywhere"
    And the other 50 are done
    When jobs that turn out larger than any worker are submitted
    Then the last of them ends as "failed" with the verdict "too-large"

  Scenario: a worker that fails everything is ejected, and no job ends as failed
    Given a job fleet of 6 workers with seed 2
    And the worker "worker-3" fails everything that it starts
    When 200 jobs are submitted
    Then all of them are done within 300 seconds
    And "worker-3" failed at most 8 of them

  Scenario Outline: a lost worker's jobs start again only after the lease lapsed
    Given a job fleet of 6 workers with seed <seed>
    When 60 jobs run, "<kind>", and "worker-2" is cut off
    Then none of its jobs starts again within <ttl> seconds
    And its jobs end as "<end>"
    And no job that may run only once ran twice and no quota was exceeded

    Examples:
      | seed | kind           | ttl | end    |
      | 1    | repeatable     | 59  | done   |
      | 2    | not repeatable | 59  | failed |

  Scenario: cancellations are batched and take precedence over starts
    Given a job fleet of 6 workers with seed 1
    When 400 jobs are submitted and all are cancelled after 5 seconds
    Then all are cancelled within 4 seconds by at most 4 stop commands
    And none started after its cancellation

  Scenario: a team's quota is not exceeded
    Given a job fleet of 6 workers with a quota of 100 cores for "team" and seed 1
    When 200 jobs of the teams "team" and "other" run for 100 seconds
    Then no job that may run only once ran twice and no quota was exceeded
    And "other" had more cores than "team"

  Scenario: jobs over HTTP with real processes
    Given a cluster of kapu whose planners have written the host records
    When a job "/encode" with the key "j-1" is submitted to "entry-1" and again to "entry-6"
    Then both answers name the same job
    And it is done within 20 seconds after one start
    When a job "/encode" that runs for 600 seconds is submitted to "entry-2" and cancelled
    Then it is cancelled within 10 seconds
    And bad submissions are refused
      | body                                                          | status |
      | {"kind": "/unknown", "cores": 1, "memory_mb": 1, "seconds": 1} | 404    |
      | {"kind": "/encode", "cores": 0, "memory_mb": 1, "seconds": 1}  | 400    |
      | {"kind": "/encode"                                             | 400    |
      | {"kind": "/encode", "cores": 1, "memory_mb": 1, "colour": 1}   | 400    |
    And an unknown job is answered with status 404

  Scenario: urgent jobs start while background ones fill the pool, and a planner dies
    Given a cluster of kapu whose planners have written the host records
    And 120 background jobs of 24 cores fill the pool
    When the manager that plans "szeged" dies and urgent jobs are submitted there
    Then each urgent job starts within 1.5 seconds once another manager plans
    And no task was started twice

  Scenario Outline: a submitted job is not lost if <method> fails in the tick that reads it
    Given a platform on which a job was submitted
    When the planner ticks 2 times and "<method>" fails in the first
    Then the job has a stored record or is still submitted

    Examples:
      | method     |
      | read_tasks |
      | write      |

  Scenario Outline: an accepted job is found when the planner takes it in <moment>
    Given a platform on which a job was submitted
    Then the job is shown with status 200 if the planner takes it in "<moment>"

    Examples:
      | moment               |
      | before the look-up   |
      | after the first read |
      | later                |
