Feature: Invalid requests, callers that disconnect, and HTTP/2

  A job is a request of a caller; targets count its runs by its name. A tag is a call of
  the plain service "tag", which must not run twice.

  Scenario: A caller over HTTP/2 gets a complete response
    Given a fleet of 1 engine, 0 services and 1 entry
    When job "h2" is requested over HTTP/2 through "entry-1"
    Then the response to "h2" is complete

  Scenario: Invalid and slow requests are rejected and the entry still responds
    Given a fleet of 1 engine, 0 services and 1 entry
    When "entry-1" is sent invalid JSON, an oversized body, an oversized header and a slow body
    Then the response statuses are "400, 413, 4xx, 408"
    And "entry-1" still responds

  Scenario: The stream of a caller that disconnects is cut
    Given a fleet of 1 engine, 0 services and 1 entry
    When a caller of "entry-1" disconnects during job "left" of 400 tokens
    Then the metrics of "sidecar-1" show a cut for "caller_left"
    And "target-1" has not finished job "left" 5 seconds later

  Scenario: A tag is not cancelled when its caller disconnects
    Given a fleet of 0 engines, 1 services and 1 entry
    When a caller of "entry-1" disconnects while tag "kept" runs
    Then "target-1" finishes job "kept", which it began once

  Scenario: Less urgent work is preempted on all sidecars when a rank finds no free slot
    Given a fleet of 2 slow engines, 0 services and 2 entries
    When 30 jobs of tier "batch" are streamed through "entry-1"
    And 60 jobs of tier "urgent" are requested through "entry-2"
    Then no urgent job is refused while less urgent work runs

  Scenario: A tag never runs twice when entries cannot reach its key owner
    Given a fleet of 1 engine, 2 services and 2 entries behind a network
    When the same ticket is used through both entries while its key owner is unreachable
    Then the tag ran at most 1 time
