Feature: A gang under which a worker crashed starts again as one

  # Each member wanted a worker for itself, so that a gang of more members than idle
  # workers never started again, while its pool idled (review/11).
  Scenario Outline: a gang of <members> on <workers> workers, <limit> a worker, after <crashes>
    Given a pool of <workers> workers and a gang of <members>, at most <limit> a worker
    When the gang has started and "<crashes>"
    Then it starts again after <seconds> s on <used> workers, none of which had crashed: "<fresh>"

    Examples:
      | members | workers | limit | crashes                         | seconds | used | fresh |
      | 8       | 7       | 8     | its worker crashes              | 0       | 1    | yes   |
      | 8       | 7       | 2     | one of its workers crashes      | 0       | 4    | yes   |
      | 8       | 4       | 2     | one of its workers crashes      | 2       | 4    | no    |
      | 7       | 7       | 1     | one of its workers crashes      | 2       | 7    | no    |
      | 8       | 1       | 8     | its worker crashes              | 2       | 1    | no    |
      | 8       | 7       | 8     | two workers crash in a row      | 0       | 1    | yes   |
      | 8       | 7       | 8     | its leader is lost as well      | 0       | 1    | yes   |

  Scenario: no other task shares the workers of a suspect gang
    Given a pool of 3 workers and a gang of 4, at most 8 a worker
    When the gang has started and "its worker crashes"
    Then of 32 other tasks none starts beside it

  Scenario: a gang that crashes its workers is given up, and its neighbours are not
    Given a pool of 7 workers and a gang of 4, at most 2 a worker
    When one of its workers crashes after each start, beside other jobs
    Then its job fails after at most 5 crashes, and no other job does
