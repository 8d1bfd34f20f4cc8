Feature: A client receives the whole answer to its own request

  Scenario Outline: under faults
    Given six nodes in three availability zones under load
    When "<faults>" happens
    Then altered_bodies is 0
    And crossed_answers is 0
    And lost_runs is 0

    Examples:
      | faults               |
      | kill -9              |
      | freeze and return    |
      | pause past the lease |
      | cut inwards          |
      | cut both ways        |
      | slow lossy zones     |
      | zone lost            |
      | log down             |
      | log answer lost      |
      | kill -9 + log slow   |

  @long
  Scenario Outline: under further faults and pairs
    Given six nodes in three availability zones under load
    When "<faults>" happens
    Then altered_bodies is 0
    And crossed_answers is 0
    And lost_runs is 0

    Examples:
      | faults                                  |
      | cut outwards                            |
      | log stale                               |
      | cold start                              |
      | all killed                              |
      | short pauses                            |
      | cut from nodes                          |
      | cut from log                            |
      | cut between two                         |
      | answers lost                            |
      | zone cut                                |
      | log slow                                |
      | health lies                             |
      | all replaced                            |
      | graceful stop                           |
      | planner killed                          |
      | retention passed                        |
      | kill -9 + log down                      |
      | freeze and return + log down            |
      | cut both ways + log slow                |
      | cut inwards + log answer lost           |
      | zone lost + slow lossy zones            |
      | zone cut + log stale                    |
      | planner killed + log answer lost        |
      | pause past the lease + slow lossy zones |
      | health lies + log down                  |
      | cold start + log slow                   |
      | cut outwards + short pauses             |
      | zone lost + log answer lost             |
