"""Send a caller its answer, once."""

import trio

from pistachiohaven import platform
from pistachiohaven.components.web import Message, Send
from pistachiohaven.helpers import Clock

from ._dispatch import CompleteResponse
from ._events import Event

Headers = list[tuple[bytes, bytes]]


class ResponseWriter:
    """Hold what one caller has been sent; it is the sink of streams."""

    def __init__(self, *, send: Send, clock: Clock, is_closing: bool) -> None:
        self._send = send
        self._clock = clock
        self._is_closing = is_closing
        self._last_event_id: int | None = None
        self.head_sent_ms: int | None = None
        self.first_byte_at_ms: int | None = None
        self.status = 0
        self.is_complete = False

    @property
    def is_started(self) -> bool:
        """Return True once the head of an answer went out."""
        return self.head_sent_ms is not None

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last event sent."""
        return self._last_event_id

    def close_connection(self) -> None:
        """Ask the caller to use another connection after this answer."""
        self._is_closing = True

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a stream; a resumed stream keeps its first head."""
        if self.is_started:
            return
        stream_headers = [
            (name, value) for name, value in headers if name != b"content-length"
        ]
        await self._send_head(status, stream_headers)

    async def send_events(self, events: list[Event]) -> None:
        """Send whole events that the caller does not have yet."""
        unsent = [event for event in events if self._is_unsent(event)]
        if not unsent:
            return
        self._record_first_byte()
        ids = [event.event_id for event in unsent if event.event_id is not None]
        self._last_event_id = ids[-1] if ids else self._last_event_id
        body = b"".join(event.data for event in unsent)
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def end_stream(self) -> None:
        """Mark a stream as complete."""
        await self._send_last_part(b"")

    async def send_complete(self, target_response: CompleteResponse) -> None:
        """Send a target's whole answer, unchanged."""
        headers = [
            (name, value)
            for name, value in target_response.headers
            if name != b"content-length"
        ]
        headers.append((b"content-length", str(len(target_response.body)).encode()))
        await self._send_head(target_response.status, headers)
        self._record_first_byte()
        await self._send_last_part(target_response.body)

    async def send_status(
        self, status: int, *, attempt_id: str | None, retry_after_ms: int | None
    ) -> None:
        """Send an answer of the gateway's own, without a body."""
        headers = platform.encode_refusal(
            attempt_id=attempt_id, retry_after_ms=retry_after_ms
        )
        headers.append((b"content-length", b"0"))
        await self._send_head(status, headers)
        await self._send_last_part(b"")

    def _is_unsent(self, event: Event) -> bool:
        if event.event_id is None or self._last_event_id is None:
            return True
        return event.event_id > self._last_event_id

    async def _send_head(self, status: int, headers: Headers) -> None:
        if self._is_closing:
            headers = [*headers, (b"connection", b"close")]
        self.status = status
        self.head_sent_ms = self._clock.now_ms()
        await self._send_shielded(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _send_last_part(self, body: bytes) -> None:
        """Send the last part; after it the server reports the caller as gone."""
        self.is_complete = True
        await self._send_shielded({"type": "http.response.body", "body": body})

    async def _send_shielded(self, message: Message) -> None:
        """Pass one message to the server, whole.

        A cancellation in the middle would leave the server's view of the connection
        behind what was sent: it would stay unread, or end the process.
        """
        with trio.CancelScope(shield=True):
            await self._send(message)

    def _record_first_byte(self) -> None:
        if self.first_byte_at_ms is None:
            self.first_byte_at_ms = self._clock.now_ms()
