Feature: Callers that are hostile, leave, or speak HTTP/2

  Scenario: A caller over HTTP/2 gets its whole answer
    Given a fleet of 1 engine, 0 services and 1 entry
    When job "h2" is asked over HTTP/2 through "entry-1"
    Then the answer of "h2" is whole

  Scenario: Hostile callers get a clear answer and cost little
    Given a fleet of 1 engine, 0 services and 1 entry
    When "entry-1" is sent bad JSON, an oversize body, an oversize header and a slow body
    Then the statuses are "400, 413, 4xx, 408"
    And "entry-1" still answers

  Scenario: A caller that leaves takes its stream with it
    Given a fleet of 1 engine, 0 services and 1 entry
    When a caller of "entry-1" leaves in the middle of job "left" of 400 tokens
    Then the sidecar cuts "left" for "caller_left"
    And "target-1" never ends job "left"

  Scenario: A caller that leaves never cancels a tag
    Given a fleet of 0 engines, 1 services and 1 entry
    When a caller of "entry-1" leaves while tag "kept" runs
    Then "target-1" ends job "kept" once

  Scenario: A rank that finds no room stops less urgent work everywhere
    Given a fleet of 2 slow engines, 0 services and 2 entries
    When 30 jobs of tier "batch" are streamed through "entry-1"
    And 60 jobs of tier "urgent" are asked through "entry-2"
    Then no urgent job is refused while less urgent work runs

  Scenario: Entries cut off from the home of a key never run it twice
    Given a fleet of 1 engine, 2 services and 2 entries behind a network
    When the same ticket is used through both entries while its home is cut off
    Then the tag ran at most 1 time
