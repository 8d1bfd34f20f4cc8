Feature: Sections of the configuration document are checked before they are published

  Scenario Outline: a section that fails the schema is refused with the path
    Given a section file with "<line>"
    When an operator checks it
    Then the exit code is <code> and the message names "<path>"

    Examples:
      | line              | code | path              |
      | slots: 6          | 0    | ok                |
      | slots: many       | 2    | $.slots           |
      | slots: 0          | 2    | $.slots           |
      | slotz: 6          | 2    | $.slotz           |
      | key: {source: x}  | 2    | $.key.source      |
