Feature: What must always hold, on the whole path, under faults

  Scenario: A request of a killed sidecar is never dispatched again
    Given a fleet of 2 engines, 0 services and 1 entry
    When "entry-1" streams job "long" of 400 tokens in tier "urgent"
    And the sidecar that runs "long" is killed
    Then the caller of "long" is told "cut_after_dispatch"
    And job "long" began 1 time

  Scenario: A frozen entry that wakes dispatches nothing twice
    Given a fleet of 1 engine, 2 services and 2 entries
    When "entry-1" is sent tag "frozen" with a ticket and freezes
    And "entry-2" is sent tag "frozen" with the same ticket
    And "entry-1" wakes
    Then every caller of "frozen" is answered or told "unknown"
    And job "frozen" began 1 time

  Scenario: An urgent request is never refused while idle work runs
    Given a fleet of 2 slow engines, 0 services and 1 entry
    When 40 jobs of tier "idle" are streamed through "entry-1"
    And the sidecar "sidecar-2" freezes
    And "entry-1" leaves "sidecar-2" out
    And 10 jobs of tier "urgent" are asked through "entry-1"
    Then all 10 urgent jobs are answered whole or end "unknown"
    And no urgent job is refused

  Scenario: An answer is whole though the connection to the sidecar is cut
    Given a fleet of 1 engine, 0 services and 1 entry behind a network
    When "entry-1" streams job "cut" of 120 tokens in tier "normal"
    And the network is cut once "cut" has begun
    Then the caller of "cut" has all 120 words
    And job "cut" began 1 time

  Scenario: A sidecar that freezes in the middle of an answer and wakes loses nothing
    Given a fleet of 1 engine, 0 services and 1 entry
    When "entry-1" streams job "ice" of 200 tokens in tier "normal"
    And the sidecar "sidecar-1" freezes
    And 3 seconds pass
    And "sidecar-1" wakes
    Then the caller of "ice" has all 200 words
    And job "ice" began 1 time

  Scenario: A sidecar that freezes for good ends its callers' waits
    Given a fleet of 1 engine, 0 services and 1 entry
    When "entry-1" streams job "lost" of 200 tokens in tier "normal"
    And the sidecar "sidecar-1" freezes
    Then the caller of "lost" is told "cut_after_dispatch"

  Scenario: Who is told not run has not run, when targets die
    Given a fleet of 2 engines, 0 services and 1 entry
    When target "target-1" is killed
    And 12 jobs of tier "normal" are asked through "entry-1"
    Then every job told "not_run" began 0 times
    And every answered job began 1 time

  Scenario: A tag repeated through the other entry runs once
    Given a fleet of 1 engine, 2 services and 2 entries
    When the same tag is sent 4 times through both entries at once, its home frozen for a while
    Then the tag ran at most 1 time
    And a later repeat with the same key does not run it again

  Scenario: A leaving sidecar gets no new work though the list lags
    Given a fleet of 2 slow engines, 0 services and 1 entry
    When 6 jobs of tier "normal" are streamed through "entry-1"
    And "sidecar-1" is told to leave by signal
    And 2 seconds pass
    Then "sidecar-1" still holds work
    When 6 jobs of tier "normal" are asked through "entry-1"
    Then "target-1" began none of them
    And every streamed job that was answered is whole

  Scenario: A planned stop cuts off nothing
    Given a fleet of 1 engine, 0 services and 1 entry
    When "entry-1" streams job "stay" of 900 tokens in tier "normal"
    And "sidecar-1" is told to leave by signal
    And "entry-1" is told to leave by signal
    Then the caller of "stay" has all 900 words
    And "sidecar-1" and "entry-1" end by themselves

  Scenario: A restarted entry never goes back to an older configuration
    Given a fleet of 1 engine, 0 services and 2 entries
    When the platform becomes stale
    And revision 2 reaches "entry-1" but not the platform's answers
    And every node but "entry-2" freezes
    And "entry-2" is killed and started again
    And 3 seconds pass
    Then "entry-2" is not ready
    When every node wakes
    Then "entry-2" serves with revision 2
    And "entry-2" never began to serve with an older one

  Scenario: A bad edit changes nothing
    Given a fleet of 1 engine, 0 services and 1 entry
    When a tree with a fault is published as revision 2
    And a good tree is published as revision 3
    Then every node serves with revision 3
