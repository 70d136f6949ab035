Feature: A planned stop interrupts no request

  Scenario Outline: A process is drained while it serves streams
    Given a fleet with two engines and two entries
    And 12 streams that are being answered
    When the <process> is drained
    Then every stream ends with its whole answer
    And the <process> exits with status 0

    Examples:
      | process |
      | entry   |
      | agent   |

  Scenario: An entry that holds shards is drained
    Given a fleet with two engines and two entries
    And a batch of 300 items that is running
    When the entry is drained
    Then the batch completes with one outcome for each item
    And no shard had to wait for its lease to lapse
