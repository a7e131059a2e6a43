"""Write to a caller: the target's bytes as they come, or one error."""

from dataclasses import dataclass

import msgspec

from pistachiohaven.components.web import Send, send_reply, start_stream
from pistachiohaven.components.web.const import OK
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Outcome, Reason

from ._steps import Finish
from .const import REQUEST_ID_HEADER

_STATUS_OF_OUTCOME = {
    Outcome.NOT_RUN: 503,
    Outcome.CUT_AFTER_DISPATCH: 502,
    Outcome.UNKNOWN: 504,
}
_STATUS_OF_REASON = {
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
    """Tell a caller what became of its request.

    `outcome` is about the request, every try with its key included; `this_try` is
    about this call alone.
    """

    code: Reason
    outcome: Outcome
    this_try: Outcome
    message: str
    request_id: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBody:
    """Wrap an error the way clients of model engines expect it."""

    error: ErrorDetail


class CallerReply:
    """Pass on one answer; a streamed one at once, any other when it is whole."""

    def __init__(self, *, send: Send, request_id: str, stream: bool) -> None:
        self._send = send
        self._request_id = request_id
        self._stream = stream
        self._parts: list[bytes] = []
        self._status = OK
        self._content_type = b"application/json"
        self.offset_bytes = 0
        self.started = False

    def head(self, *, status: int, content_type: bytes) -> None:
        """Take in the head of the target's answer."""
        self._status = status
        self._content_type = content_type

    async def chunk(self, content: bytes) -> None:
        """Pass on bytes of the answer."""
        self.offset_bytes += len(content)
        if not self._stream:
            self._parts.append(content)
            return
        if not self.started:
            await self._start()
        await self._send(
            {"type": "http.response.body", "body": content, "more_body": True}
        )

    async def whole(self) -> None:
        """End a whole answer."""
        if self._stream:
            if not self.started:
                await self._start()
            await self._send({"type": "http.response.body", "body": b""})
            return
        headers = [(b"content-type", self._content_type), self._id_header()]
        body = b"".join(self._parts)
        await send_reply(self._send, status=self._status, headers=headers, body=body)

    async def error(self, finish: Finish, *, message: str, this_try: Outcome) -> None:
        """Tell the caller why there is no whole answer."""
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
        if self.started:
            event = b"event: error\ndata: " + content + b"\n\n"
            await self._send({"type": "http.response.body", "body": event})
            return
        headers = [(b"content-type", b"application/json"), self._id_header()]
        if finish.retry_after_ms:
            seconds = -(-finish.retry_after_ms // MS_PER_S)
            headers.append((b"retry-after", str(seconds).encode()))
        default = _STATUS_OF_OUTCOME[finish.outcome]
        status = _STATUS_OF_REASON.get(reason, default)
        await send_reply(self._send, status=status, headers=headers, body=content)

    async def _start(self) -> None:
        self.started = True
        headers = [(b"content-type", self._content_type), self._id_header()]
        await start_stream(self._send, status=self._status, headers=headers)

    def _id_header(self) -> tuple[bytes, bytes]:
        return REQUEST_ID_HEADER.encode(), self._request_id.encode()
