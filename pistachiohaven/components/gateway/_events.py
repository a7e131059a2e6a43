"""Splitting of an event stream into complete events."""

from dataclasses import dataclass

from pistachiohaven.components.web import EndlessResponseError
from pistachiohaven.helpers import parse_whole

from .const import (
    EVENT_COST_BYTES,
    MAX_EVENT_BYTES,
    MAX_REPEATED_EVENTS,
    MAX_UNNUMBERED_BYTES,
    MIN_PART_BYTES,
)

_DELIMITER = b"\n\n"


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Bytes of one complete event, and its id if that is a number."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Incremental parser that splits a stream at the blank lines between events.

    `buffered_bytes` is the size of the incomplete event. It is kept in parts: many
    buffers that grow at the same time would leave holes in the memory of the process.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self.buffered_bytes = 0

    @property
    def has_partial_event(self) -> bool:
        """Return True if the stream stopped within an event."""
        return bool(self._parts)

    def clear(self) -> None:
        """Drop the incomplete event."""
        self._parts.clear()
        self.buffered_bytes = 0

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that `chunk` completes.

        Raises ValueError if an event grows past `MAX_EVENT_BYTES`.
        """
        complete_events: list[bytes] = []
        # The delimiter may begin with the last byte of the previous chunk.
        last_byte = self._parts[-1][-1:] if self._parts else b""
        if _DELIMITER in last_byte + chunk:
            *complete_events, rest = b"".join([*self._parts, chunk]).split(_DELIMITER)
            self._parts = [rest] if rest else []
            self.buffered_bytes = len(rest)
        elif chunk:
            if self._parts and len(self._parts[-1]) < MIN_PART_BYTES:
                self._parts[-1] += chunk
            else:
                self._parts.append(chunk)
            self.buffered_bytes += len(chunk)
        if self.buffered_bytes > MAX_EVENT_BYTES:
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
