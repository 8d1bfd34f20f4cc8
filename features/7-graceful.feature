Feature: A graceful shutdown cuts off no request in flight

  Scenario: requests that take long are in flight
    Given six nodes in three availability zones under load
    When a node with slow requests in flight is asked to leave
    Then cut_off is 0
    And every node that was asked to leave exits with 0
    And every key is served in the end

  @long
  Scenario Outline: nodes are replaced under load
    Given six nodes in three availability zones under load
    When "<faults>" happens
    Then cut_off is 0
    And every node that was asked to leave exits with 0

    Examples:
      | faults        |
      | graceful stop |
      | all replaced  |
