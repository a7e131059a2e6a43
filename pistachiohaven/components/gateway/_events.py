"""Splitting of an event stream into complete events."""

from dataclasses import dataclass

from .const import MAX_EVENT_BYTES

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


def _find_id(event: bytes) -> int | None:
    """Return the number in the `id` line of an event, None without one."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
