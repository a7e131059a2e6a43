"""Responses to callers: the forwarded response of a target, or an error."""

from dataclasses import dataclass

import msgspec

from pistachiohaven.components.web import Send, send_response, start_response
from pistachiohaven.components.web.const import OK
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Outcome, Reason

from ._steps import Finish
from .const import REQUEST_ID_HEADER

_STATUS_BY_OUTCOME = {
    Outcome.NOT_RUN: 503,
    Outcome.CUT_AFTER_DISPATCH: 502,
    Outcome.UNKNOWN: 504,
}
_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_NOT_STAMPED: 400,
    Reason.UNKNOWN_LEAF: 404,
    Reason.SLOW_SENDER: 408,
    Reason.KEY_FROM_FUTURE: 409,
    Reason.KEY_REUSED: 409,
    Reason.BODY_TOO_LARGE: 413,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorDetail:
    """Details of an error response.

    `outcome` covers all tries with the same idempotency key; `this_try` covers this
    call only.
    """

    code: Reason
    outcome: Outcome
    this_try: Outcome
    message: str
    request_id: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBody:
    """Body of an error response, in the format that clients of model engines expect."""

    error: ErrorDetail


class CallerResponse:
    """Response to one caller.

    A streamed response is forwarded chunk by chunk; any other is buffered until it is
    complete. `offset_bytes` counts the body bytes received from targets so far.
    """

    def __init__(self, *, send: Send, request_id: str, stream: bool) -> None:
        self._send = send
        self._request_id = request_id
        self._is_streamed = stream
        self._buffered_chunks: list[bytes] = []
        self._status = OK
        self._content_type = b"application/json"
        self.offset_bytes = 0
        self._has_started = False

    def set_head(self, *, status: int, content_type: bytes) -> None:
        """Set the status and content type of the target's response."""
        self._status = status
        self._content_type = content_type

    async def forward_chunk(self, content: bytes) -> None:
        """Send a chunk of a streamed response, or buffer it."""
        self.offset_bytes += len(content)
        if not self._is_streamed:
            self._buffered_chunks.append(content)
            return
        if not self._has_started:
            await self._start_stream()
        await self._send(
            {"type": "http.response.body", "body": content, "more_body": True}
        )

    async def finish(self) -> None:
        """Finish a complete response, sending it now if it was buffered."""
        if self._is_streamed:
            if not self._has_started:
                await self._start_stream()
            await self._send({"type": "http.response.body", "body": b""})
            return
        headers = [(b"content-type", self._content_type), self._request_id_header()]
        body = b"".join(self._buffered_chunks)
        await send_response(self._send, status=self._status, headers=headers, body=body)

    async def send_error(
        self, finish: Finish, *, message: str, this_try: Outcome
    ) -> None:
        """Send the error that explains why there is no complete response.

        In a stream that has started, it is sent as a server-sent event.
        """
        reason = finish.reason or Reason.SIDECAR_LOST
        detail = ErrorDetail(
            code=reason,
            outcome=finish.outcome,
            this_try=this_try,
            message=message,
            request_id=self._request_id,
            retry_after_ms=finish.retry_after_ms,
        )
        content = msgspec.json.encode(ErrorBody(error=detail))
        if self._has_started:
            event = b"event: error\ndata: " + content + b"\n\n"
            await self._send({"type": "http.response.body", "body": event})
            return
        headers = [(b"content-type", b"application/json"), self._request_id_header()]
        if finish.retry_after_ms:
            retry_after_s = -(-finish.retry_after_ms // MS_PER_S)
            headers.append((b"retry-after", str(retry_after_s).encode()))
        default_status = _STATUS_BY_OUTCOME[finish.outcome]
        status = _STATUS_BY_REASON.get(reason, default_status)
        await send_response(self._send, status=status, headers=headers, body=content)

    async def _start_stream(self) -> None:
        self._has_started = True
        headers = [(b"content-type", self._content_type), self._request_id_header()]
        await start_response(self._send, status=self._status, headers=headers)

    def _request_id_header(self) -> tuple[bytes, bytes]:
        return REQUEST_ID_HEADER.encode(), self._request_id.encode()
