"""Split a stream into whole events."""

from dataclasses import dataclass

from .const import MAX_EVENT_BYTES


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Hold the bytes of one whole event and its id, if it has a number."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Cut the bytes of a stream at the blank lines that end its events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return True if an event has begun and not ended."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that `chunk` completes.

        Raises ValueError if an event grows past `MAX_EVENT_BYTES`.
        """
        *complete, self._buffer = (self._buffer + chunk).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        return [
            Event(data=part + b"\n\n", event_id=_find_id(part)) for part in complete
        ]


def _find_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
