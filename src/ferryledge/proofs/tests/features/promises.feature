Feature: What must always hold
  Clients believe what they are told. Each scenario runs a small region in
  virtual time and checks journals and answers.

  Background:
    Given 3 entries and 4 agents of 2 slots

  Scenario Outline: No task of a submission starts twice
    When 30 jobs of 3 tasks arrive within 2 seconds
    And the scheduler <fault> after 1 second
    Then no task has started twice
    And every answer is whole or marked failed
    And everyone was answered or lost the connection

    Examples:
      | fault                      |
      | is killed                  |
      | is frozen for 5 seconds    |
      | loses all its streams      |
      | notices lost streams late  |

  Scenario Outline: Told not run, it did not run
    When 30 jobs of 3 tasks arrive within 2 seconds
    And agent-2 <fault> after 1 second
    Then what was told not run has not run
    And no task has started twice

    Examples:
      | fault                      |
      | is killed                  |
      | is frozen for 5 seconds    |
      | loses its endpoint         |

  Scenario: An unrepeatable request runs once although its entry dies
    When a hold is submitted until it is told
    And its entry is killed while it runs
    Then the hold has started once at most
    And its client was told the truth

  Scenario: A second submission gets the first run's answer
    When a hold is complete
    And the same hold is submitted again through another entry
    Then the second answer equals the first
    And the hold has started once at most

  Scenario: A planned stop of an agent cuts off nothing
    When 30 jobs of 3 tasks arrive within 2 seconds
    And agent-3 drains after 1 second
    Then every job is complete
    And agent-3 starts nothing after that

  Scenario: A planned stop of the scheduler cuts off nothing
    When 30 jobs of 3 tasks arrive within 2 seconds
    And the scheduler drains after 1 second
    Then every job is complete or refused at the draining entry

  Scenario: Racing operators
    When two operators publish on the same version
    Then one change is in force in every entry
    And the other one is not

  Scenario: The log is down for an hour
    When the log goes down
    And 30 jobs of 3 tasks arrive within 2 seconds
    Then every job is complete
    When a change is published after an hour
    Then it is in force in every entry within 10 seconds

  Scenario: An entry that starts while the log is down asks a peer
    When the log goes down
    And entry-2 is killed and started again
    Then entry-2 has the configuration

  Scenario: An empty list removes nobody
    When the list of VMs comes empty
    And 30 jobs of 3 tasks arrive within 2 seconds
    Then every job is complete
