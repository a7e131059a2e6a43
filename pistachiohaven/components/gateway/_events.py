"""Splitting of an event stream into complete events."""

from dataclasses import dataclass

from pistachiohaven.components.web import EndlessResponseError
from pistachiohaven.helpers import parse_whole

from .const import (
    EVENT_COST_BYTES,
    MAX_EVENT_BYTES,
    MAX_REPEATED_EVENTS,
    MAX_UNNUMBERED_BYTES,
)

_DELIMITER = b"\n\n"


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Bytes of one complete event, and its id if that is a number."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Incremental parser that splits a stream at the blank lines between events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return True if the stream stopped within an event."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that `chunk` completes.

        Raises ValueError if an event grows past `MAX_EVENT_BYTES`.
        """
        # The delimiter may begin with the last byte of the previous chunk.
        search_from = max(len(self._buffer) - 1, 0)
        self._buffer += chunk
        if self._buffer.find(_DELIMITER, search_from) >= 0:
            *complete_events, rest = bytes(self._buffer).split(_DELIMITER)
            self._buffer = bytearray(rest)
        else:
            complete_events = []
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        return [
            Event(data=event + _DELIMITER, event_id=_find_id(event))
            for event in complete_events
        ]


class EventFilter:
    """Filter for the events of a stream that the caller does not have yet.

    `last_event_id` is the id of the last event that the caller has.
    """

    def __init__(self, *, last_event_id: int | None) -> None:
        self._last_event_id = last_event_id
        self._repeated_events = 0
        self._unnumbered_bytes = 0

    def select(self, events: list[Event]) -> list[Event]:
        """Return those of `events` that are new; events without id always are.

        Raises EndlessResponseError if there are too many events in a row that are not
        new, and ValueError if consecutive events without ids are too large.
        """
        return [event for event in events if self._is_new(event)]

    def _is_new(self, event: Event) -> bool:
        if event.event_id is None:
            self._unnumbered_bytes += len(event.data) + EVENT_COST_BYTES
            if self._unnumbered_bytes > MAX_UNNUMBERED_BYTES:
                raise ValueError("too many events without ids")
            return True
        if self._last_event_id is not None and event.event_id <= self._last_event_id:
            self._repeated_events += 1
            if self._repeated_events > MAX_REPEATED_EVENTS:
                raise EndlessResponseError("repeated events without end")
            return False
        self._last_event_id = event.event_id
        self._repeated_events = 0
        self._unnumbered_bytes = 0
        return True


def _find_id(event: bytes) -> int | None:
    """Return the number in the `id` line of an event, None without one."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return parse_whole(value)
    return None
