Feature: Bytes of other writers and clients that are wrong in any way

  Scenario Outline: <reader> reads or refuses whatever comes
    Then <reader> reads or refuses anything drawn

    Examples:
      | reader                           |
      | the reader of submissions        |
      | the reader of worker entries     |
      | the reader of configurations     |
      | the reader of lists of runs      |
      | the reader of answers to orders  |
      | the reader of rows of the store  |

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

  Scenario Outline: An entry at <address> names no worker
    Then an entry whose address is <address> names no worker

    Examples:
      | address        |
      | 10.0.0.1:99999 |
      | 10.0.0.1:0     |
      | a-name:80      |
      | :80            |
      | 10.0.0.1       |

  Scenario Outline: A deadline of <digits> digits is bounded
    Then a client whose deadline has <digits> digits is taken to wait an hour

    Examples:
      | digits |
      | 8      |
      | 30     |
      | 5000   |
