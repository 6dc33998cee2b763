Feature: Result codes keep what their numbers promise

  Scenario Outline: A page that is written from the code agrees with it
    When the page written by <tool> is checked
    Then it agrees

    Examples:
      | tool              |
      | codes_page.py     |
      | settings_table.py |

  Scenario: A number stands for one code alone
    Then no two result codes share a number

  Scenario: Every code has its facts
    Then every result code says whether anything ran

  Scenario Outline: A family makes one promise about starts
    Then every code of family <family> says ran <ran>

    Examples:
      | family | ran          |
      | 2      | no           |
      | 3      | yes or maybe |
      | 4      | maybe        |
      | 9      | maybe        |

  Scenario Outline: A family has HTTP statuses of its kind
    Then every code of family <family> has an HTTP status from <low> to <high>

    Examples:
      | family | low | high |
      | 1      | 200 | 299  |
      | 2      | 400 | 599  |
      | 3      | 400 | 599  |
      | 4      | 400 | 599  |
      | 9      | 500 | 599  |

  Scenario: Every exit code is explained
    Then every exit code has a meaning
