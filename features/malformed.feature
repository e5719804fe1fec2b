Feature: Malformed input concerns only the message that holds it

  Scenario Outline: <inputs> mutated inputs of <decoder> raise nothing
    Then <inputs> mutated inputs of "<decoder>", seed <seed>, raise nothing

    Examples:
      | decoder               | inputs | seed |
      | a submitted job       | 2000   | 1    |
      | a worker registration | 2000   | 2    |
      | a node record         | 1000   | 3    |
      | a leader record       | 1000   | 4    |
      | an epoch              | 500    | 5    |
      | stored progress       | 1000   | 6    |
      | a page of the store   | 2000   | 7    |
      | an answer of a worker | 2000   | 8    |
      | a stream of messages  | 1000   | 9    |

  Scenario Outline: a job with <fault> is refused
    Then a job with "<fault>" is refused

    Examples:
      | fault                          |
      | a body nested 100000 deep      |
      | a negative processor share     |
      | an estimate of 1e300           |
      | repeats without an interval    |
      | a due time in the year 300000  |

  Scenario: an error in the handling of a message does not end its stream
    Then of three messages whose second cannot be handled, the other two are handled

  Scenario: an error in the handling of a request is answered
    Then a request whose handling fails is answered 500 and counted as ended
