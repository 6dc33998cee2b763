Feature: Invalid input from clients, workers and the store

  Scenario Outline: Fuzzing <decoder>
    Then <decoder> accepts or refuses any generated input

    Examples:
      | decoder                        |
      | the decoder of submissions     |
      | the decoder of worker entries  |
      | the decoder of configurations  |
      | the decoder of run reports     |
      | the decoder of order responses |
      | the decoder of store rows      |

  Scenario Outline: A submission with <field> <wrong> is refused
    Then a step whose <field> is <wrong> is refused with status 400

    Examples:
      | field        | wrong                |
      | Cpu          | -1                   |
      | MemMb        | -5                   |
      | Gpu          | -1                   |
      | EstimateMs   | -100                 |
      | MaxPerServer | -1                   |
      | Cpu          | 99999999999999999999 |
      | Cpu          | "many"               |
      | Count        | 1.5                  |

  Scenario Outline: A worker entry with address <address> is ignored
    Then a worker entry with address <address> is ignored

    Examples:
      | address        |
      | 10.0.0.1:99999 |
      | 10.0.0.1:0     |
      | a-name:80      |
      | :80            |
      | 10.0.0.1       |

  Scenario Outline: A deadline of <digits> digits is limited to an hour
    Then the timeout of a client whose deadline has <digits> digits is an hour

    Examples:
      | digits |
      | 8      |
      | 30     |
      | 5000   |
