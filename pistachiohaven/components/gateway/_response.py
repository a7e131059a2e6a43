"""Writer of the response to a caller."""

from collections.abc import Callable

import trio

from pistachiohaven import platform
from pistachiohaven.components.web import Message, Send
from pistachiohaven.helpers import Clock

from ._dispatch import CompleteResponse
from ._events import Event

Headers = list[tuple[bytes, bytes]]


class ResponseWriter:
    """Writer of the one response to a caller.

    It implements `StreamSink`. `head_sent_ms` and `first_byte_at_ms` are monotonic
    times. If `is_draining` returns True when the head is sent, the caller is asked to
    close the connection afterwards. `has_caller_left` returns True once the caller has
    closed the connection.
    """

    def __init__(
        self,
        *,
        send: Send,
        clock: Clock,
        is_draining: Callable[[], bool],
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> None:
        self._send = send
        self._clock = clock
        self._is_draining = is_draining
        self.has_caller_left = has_caller_left
        self._is_closing = False
        self._last_event_id: int | None = None
        self.head_sent_ms: int | None = None
        self.first_byte_at_ms: int | None = None
        self.status = 0
        self._content_type = b""
        self.is_complete = False

    @property
    def is_started(self) -> bool:
        """Return True if the head of a response has been sent."""
        return self.head_sent_ms is not None

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last event sent."""
        return self._last_event_id

    def continues_with(self, status: int, headers: Headers) -> bool:
        """Return True if a response with this head may go on with the one begun.

        Both must have the same status and content type.
        """
        return (status, _content_type(headers)) == (self.status, self._content_type)

    def close_connection(self) -> None:
        """Ask the caller to close the connection after this response."""
        self._is_closing = True

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a stream, unless an earlier target's head was sent."""
        if self.is_started:
            return
        stream_headers = [
            (name, value) for name, value in headers if name != b"content-length"
        ]
        await self._send_head(status, stream_headers)

    async def send_events(self, events: list[Event]) -> None:
        """Send complete events."""
        self._record_first_byte()
        event_ids = [event.event_id for event in events if event.event_id is not None]
        self._last_event_id = event_ids[-1] if event_ids else self._last_event_id
        body = b"".join(event.data for event in events)
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def end_stream(self) -> None:
        """Send the end of a stream."""
        await self._send_last_part(b"")

    async def send_complete(self, target_response: CompleteResponse) -> None:
        """Send a target's complete response unchanged."""
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
        """Send a response of the gateway itself, without a body."""
        headers = platform.encode_refusal(
            attempt_id=attempt_id, retry_after_ms=retry_after_ms
        )
        headers.append((b"content-length", b"0"))
        await self._send_head(status, headers)
        await self._send_last_part(b"")

    async def _send_head(self, status: int, headers: Headers) -> None:
        if self._is_closing or self._is_draining():
            headers = [*headers, (b"connection", b"close")]
        self.status = status
        self._content_type = _content_type(headers)
        self.head_sent_ms = self._clock.now_ms()
        await self._send_shielded(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _send_last_part(self, body: bytes) -> None:
        """Send the end of the response.

        `is_complete` is set first, since the server reports a disconnect after the last
        part.
        """
        self.is_complete = True
        await self._send_shielded({"type": "http.response.body", "body": body})

    async def _send_shielded(self, message: Message) -> None:
        """Pass one ASGI message to the server, shielded from cancellation.

        Cancelled halfway, the server's connection state would no longer match what was
        sent: the connection would not be read any more, or the process would end.
        """
        with trio.CancelScope(shield=True):
            await self._send(message)

    def _record_first_byte(self) -> None:
        if self.first_byte_at_ms is None:
            self.first_byte_at_ms = self._clock.now_ms()


def _content_type(headers: Headers) -> bytes:
    """Return the media type of a response, empty without one."""
    for name, value in headers:
        if name == b"content-type":
            return value.partition(b";")[0].strip().lower()
    return b""
