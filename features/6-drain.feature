Feature: A target that is leaving gets no new work after 2 s

  Scenario Outline: a drain line is published
    Given six nodes in three availability zones under load
    When a target is drained while "<faults>" happens
    Then the target gets no new work once 2 s have passed in force

    Examples:
      | faults   |
      | none     |
      | log slow |

  @long
  Scenario Outline: a drain line is published under further faults
    Given six nodes in three availability zones under load
    When a target is drained while "<faults>" happens
    Then the target gets no new work once 2 s have passed in force

    Examples:
      | faults            |
      | kill -9           |
      | freeze and return |
      | slow lossy zones  |
      | log answer lost   |
      | log stale         |
      | planner killed    |
