"""Send a caller its answer, once."""

import trio

from pistachiohaven import platform
from pistachiohaven.components.web import Message, Send
from pistachiohaven.helpers import Clock

from ._dispatch import Whole
from ._events import Event

Headers = list[tuple[bytes, bytes]]


class Reply:
    """Hold what one caller has been sent; it is the sink of streams."""

    def __init__(self, *, send: Send, clock: Clock, closing: bool) -> None:
        self._send = send
        self._clock = clock
        self._closing = closing
        self._last_event_id: int | None = None
        self.started_ms: int | None = None
        self.first_byte_ms: int | None = None
        self.status = 0
        self.done = False

    @property
    def started(self) -> bool:
        """Return True once the head of an answer went out."""
        return self.started_ms is not None

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last event sent."""
        return self._last_event_id

    def close_after(self) -> None:
        """Ask the caller to use another connection after this answer."""
        self._closing = True

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a stream; a resumed stream keeps its first head."""
        if self.started:
            return
        kept = [(name, value) for name, value in headers if name != b"content-length"]
        await self._start(status, kept)

    async def events(self, events: list[Event]) -> None:
        """Send whole events that the caller does not have yet."""
        fresh = [event for event in events if self._is_fresh(event)]
        if not fresh:
            return
        self._note_first_byte()
        ids = [event.event_id for event in fresh if event.event_id is not None]
        self._last_event_id = ids[-1] if ids else self._last_event_id
        body = b"".join(event.data for event in fresh)
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def end(self) -> None:
        """Mark a stream as complete."""
        await self._finish(b"")

    async def whole(self, answer: Whole) -> None:
        """Send a target's whole answer, unchanged."""
        headers = [
            (name, value) for name, value in answer.headers if name != b"content-length"
        ]
        headers.append((b"content-length", str(len(answer.body)).encode()))
        await self._start(answer.status, headers)
        self._note_first_byte()
        await self._finish(answer.body)

    async def own(
        self, status: int, *, attempt_id: str | None, retry_after_ms: int | None
    ) -> None:
        """Send an answer of the gateway's own, without a body."""
        headers = platform.encode_refusal(
            attempt_id=attempt_id, retry_after_ms=retry_after_ms
        )
        headers.append((b"content-length", b"0"))
        await self._start(status, headers)
        await self._finish(b"")

    def _is_fresh(self, event: Event) -> bool:
        if event.event_id is None or self._last_event_id is None:
            return True
        return event.event_id > self._last_event_id

    async def _start(self, status: int, headers: Headers) -> None:
        if self._closing:
            headers = [*headers, (b"connection", b"close")]
        self.status = status
        self.started_ms = self._clock.now_ms()
        await self._emit(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _finish(self, body: bytes) -> None:
        """Send the last part; after it the server reports the caller as gone."""
        self.done = True
        await self._emit({"type": "http.response.body", "body": body})

    async def _emit(self, message: Message) -> None:
        """Pass one message to the server, whole.

        A cancellation in the middle would leave the server's view of the connection
        behind what was sent: it would stay unread, or end the process.
        """
        with trio.CancelScope(shield=True):
            await self._send(message)

    def _note_first_byte(self) -> None:
        if self.first_byte_ms is None:
            self.first_byte_ms = self._clock.now_ms()
