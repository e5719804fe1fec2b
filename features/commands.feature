Feature: Each command prints the expected text and ends with the right status

  Scenario Outline: commands without a platform
    When "<program> <arguments>" runs
    Then it ends with status <status> and prints "<text>"

    Examples:
      | program                | arguments                                   | status | text                       |
      | sassafrasgrade         | check --tables=KAPU                         | 0      | ok: 14 routes, 5 pools     |
      | sassafrasgrade         | check --tables=AUTHORITY --json             | 0      | "pools": 5                 |
      | sassafrasgrade         | check --tables=NOWHERE                      | 1      | cannot be read             |
      | sassafrasgrade         | explain GET /jury/7 --tables=KAPU           | 0      | route [jury-shortlist]     |
      | sassafrasgrade         | explain POST /fees/charges --tables=KAPU    | 0      | runs at most once          |
      | sassafrasgrade         | explain PUT /nowhere --tables=KAPU          | 1      | no route takes             |
      | sassafrasgrade         | diff --tables=KAPU --settings=BAD           | 2      | is not a known setting     |
      | sassafrasgrade         | diff --tables=KAPU --settings=DOWN          | 1      | platform-unavailable       |
      | sassafrasgrade-entry   | --settings=BAD                              | 2      | is not a known setting     |
      | sassafrasgrade-manager | --settings=NOWHERE                          | 2      | cannot be read             |
      | sassafrasgrade-entry   | --help                                      | 0      | settings                   |
      | sassafrasgrade-report  | burn --entries=http://127.0.0.1:1           | 1      | no metrics from            |

  Scenario: commands on a running cluster
    Given a running cluster of authority
    When "sassafrasgrade status --settings=OPERATOR" runs
    Then it ends with status 0 and prints "bookings"
    When "sassafrasgrade show --settings=OPERATOR" runs
    Then it ends with status 0 and prints "payments-deposit"
    When "sassafrasgrade show --settings=OPERATOR --row=payments" runs
    Then it ends with status 0 and prints "out_at_most_per_domain"
    When "sassafrasgrade diff --settings=OPERATOR --tables=KAPU" runs
    Then it ends with status 0 and prints "- pool [bookings]"
    When 400 requests are sent to every route of "bookings"
    And "sassafrasgrade-report burn --entries=ENTRIES" runs
    Then it ends with status 0 and prints "bookings"
