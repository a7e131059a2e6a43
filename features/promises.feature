Feature: Guarantees of the complete request path under faults

  A job is a request of a caller; targets count its runs by its name. A tag is a call of
  the plain service "tag", which must not run twice.

  Scenario: A request of a killed sidecar is never dispatched again
    Given a fleet of 2 engines, 0 services and 1 entry
    When "entry-1" streams job "long" of 400 tokens in tier "urgent"
    And the sidecar that runs "long" is killed
    Then the caller of "long" receives outcome "cut_after_dispatch"
    And job "long" began 1 time

  Scenario: An entry that freezes and resumes dispatches nothing twice
    Given a fleet of 1 engine, 2 services and 2 entries
    When "entry-1" is sent tag "frozen" with a ticket and freezes
    And "entry-2" is sent tag "frozen" with the same ticket
    And "entry-1" resumes
    Then every caller of "frozen" is answered or receives outcome "unknown"
    And job "frozen" began 1 time

  Scenario: An urgent request is never refused while idle work runs
    Given a fleet of 2 slow engines, 0 services and 1 entry
    When 40 jobs of tier "idle" are streamed through "entry-1"
    And the sidecar "sidecar-2" freezes
    And "entry-1" suspects "sidecar-2"
    And 10 jobs of tier "urgent" are requested through "entry-1"
    Then all 10 urgent jobs are answered completely or receive outcome "unknown"
    And no urgent job is refused

  Scenario: A response is complete although the connection to the sidecar is cut
    Given a fleet of 1 engine, 0 services and 1 entry behind a network
    When "entry-1" streams job "cut" of 120 tokens in tier "normal"
    And all connections to the sidecars are cut
    Then the caller of "cut" receives all 120 words
    And job "cut" began 1 time

  Scenario: A sidecar that freezes during a response and resumes loses nothing
    Given a fleet of 1 engine, 0 services and 1 entry
    When "entry-1" streams job "ice" of 200 tokens in tier "normal"
    And the sidecar "sidecar-1" freezes
    And 3 seconds pass
    And "sidecar-1" resumes
    Then the caller of "ice" receives all 200 words
    And job "ice" began 1 time

  Scenario: Callers of a sidecar that stays frozen get an error
    Given a fleet of 1 engine, 0 services and 1 entry
    When "entry-1" streams job "lost" of 200 tokens in tier "normal"
    And the sidecar "sidecar-1" freezes
    Then the caller of "lost" receives outcome "cut_after_dispatch"

  Scenario: Jobs reported as not run have not run when targets are killed
    Given a fleet of 2 engines, 0 services and 1 entry
    When target "target-1" is killed
    And 12 jobs of tier "normal" are requested through "entry-1"
    Then every job with outcome "not_run" began 0 times
    And every answered job began 1 time

  Scenario: A tag repeated through the other entry runs once
    Given a fleet of 1 engine, 2 services and 2 entries
    When the same tag is sent 4 times through both entries at once, while every sidecar is frozen for 1 second
    Then the tag ran at most 1 time
    And a later repeat with the same key does not run it again

  Scenario: A draining sidecar gets no new work although the list lags
    Given a fleet of 2 slow engines, 0 services and 1 entry
    When 6 jobs of tier "normal" are streamed through "entry-1"
    And "sidecar-1" receives SIGTERM
    And 2 seconds pass
    Then "sidecar-1" still runs requests
    When 6 jobs of tier "normal" are requested through "entry-1"
    Then "target-1" began none of them
    And every streamed job that was answered is complete

  Scenario: A graceful shutdown cuts no request
    Given a fleet of 1 engine, 0 services and 1 entry
    When "entry-1" streams job "stay" of 900 tokens in tier "normal"
    And "sidecar-1" receives SIGTERM
    And "entry-1" receives SIGTERM
    Then the caller of "stay" receives all 900 words
    And "sidecar-1" and "entry-1" exit with status 0

  Scenario: A restarted entry never serves with an older configuration
    Given a fleet of 1 engine, 0 services and 2 entries
    When the platform becomes stale
    And revision 2 reaches every node before the platform restarts with its first tree
    And every node but "entry-2" freezes
    And "entry-2" is killed and restarted
    And 3 seconds pass
    Then "entry-2" is not ready
    When every node resumes
    Then "entry-2" serves with revision 2
    And "entry-2" never began to serve with an older revision

  Scenario: An invalid settings tree is not applied
    Given a fleet of 1 engine, 0 services and 1 entry
    When an invalid tree is published as revision 2
    And a valid tree is published as revision 3
    Then every node serves with revision 3
