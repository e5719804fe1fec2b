Feature: Settings and tables are checked before anything runs

  Scenario Outline: a bad setting is refused with its place and the remedy
    Given a settings file with "<setting>" in section "<section>"
    When the settings are read
    Then the error names "<place>" and says "<remedy>"

    Examples:
      | section | setting               | place                               | remedy                     |
      | host    | name = UPPER          | [host] name is 'UPPER'              | Write a value              |
      | host    | address = entry.local | [host] address is 'entry.local'     | Expected an IP address     |
      | entry   | http_port = 70000     | [entry] http_port is '70000'        | <= 65535                   |
      | entry   | http_port = eighty    | [entry] http_port is 'eighty'       | `int`                      |
      | entry   | colour = red          | [entry] colour is not a known       | write one of: admission_m |
      | engine  | size = 1              | [engine] size is not a known        | one of the sections        |
      | log     | level = LOUD          | [log] level is 'LOUD'               | Write a value              |
      | manager | peers = a/b           | [manager] peers is                  | Write a value              |

  Scenario Outline: a bad row is refused with its place and the remedy
    Given the sample tables of kapu
    When "<table>" gets "<text>" in place of "<old>"
    Then the tables are refused with "<message>"

    Examples:
      | table  | old                      | text                    | message                                       |
      | routes | pool = fees              | pool = feez             | names the pool 'feez', which does not exist   |
      | routes | urgency = urgent         | urgency = soon          | urgency: Invalid enum value 'soon'            |
      | routes | prefix = /clips          | prefix = clips          | prefix: Expected `str` matching regex         |
      | routes | prefix = /jury/votes     | prefix = /metrics       | takes the reserved prefix '/metrics'          |
      | routes | prefix = /clips/thumbn   | prefix = /clips#        | all match POST /clips                         |
      | routes | deadline_ms = 1000       | deadline_ms = 0         | deadline_ms: Expected `int` >= 1              |
      | routes | weight = 4               | heft = 4                | unknown field `heft`                          |
      | pools  | out_at_most = 2          | out_at_most = 6         | may lose 6 of 6 hosts                         |
      | pools  | out_at_most_per_domain = 1 | out_at_most_per_domain = 3 | more hosts in one domain than in total  |
      | pools  | jury-szeged-[1-2]        | clips-szeged-[1-2]      | is in the pools clips, jury                   |
      | pools  | spare_pool = office      | spare_pool = attic      | names the spare pool 'attic'                  |
      | pools  | connections = 64         | connections = 4         | has more slots than connections               |
      | pools  | release = 2026.11        | window = 25:00-01:00    | window: Expected `str` matching regex         |

  Scenario Outline: the longest prefix and the exact method win
    Given the sample tables of kapu
    Then the route of "<method>" "<path>" is "<route>"

    Examples:
      | method | path                | route            |
      | GET    | /clips              | clips-check      |
      | POST   | /clips/7?x=1        | clips-upload     |
      | POST   | /clips/thumbnails/3 | clips-thumbnails |
      | GET    | /clips/thumbnails   | clips-check      |
      | POST   | /fees/charges       | fees-charge      |
      | GET    | /fees/charges/9     | fees-read        |
      | DELETE | /fees/charges       | none             |
      | GET    | /clipsx             | none             |
      | GET    | /                   | none             |

  Scenario: a range of hosts that ends before it begins is refused
    Then the hosts "clips-[3-1]" are refused, naming "ends before it begins"

  Scenario: a page request with a body over the limit is refused
    Then a page request whose body exceeds the limit is answered as too long
