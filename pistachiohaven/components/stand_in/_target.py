"""Hold what the stand-ins of both kinds of target share."""

from dataclasses import dataclass, field

import msgspec
import trio
from result import Err

from pistachiohaven.components.web import (
    HttpRequest,
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
)
from pistachiohaven.components.web.const import BAD_REQUEST, OK

from .const import BODY_TIMEOUT_MS, MAX_BODY_BYTES


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """Make a target slow by a factor, or break its streams after some tokens."""

    slow: float = 1.0
    break_after_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class Runs:
    """Count how often each job began and ended here."""

    begun: dict[str, int] = field(default_factory=dict)
    ended: dict[str, int] = field(default_factory=dict)
    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0

    def begin(self, job: str) -> None:
        """Count that `job` began."""
        self.begun[job] = self.begun.get(job, 0) + 1

    def end(self, job: str) -> None:
        """Count that `job` ended whole."""
        self.ended[job] = self.ended.get(job, 0) + 1


class TargetStandIn:
    """Serve calls, counts and faults; subclasses run the calls."""

    def __init__(self) -> None:
        self.runs = Runs()
        self.fault = Fault()
        self.scopes: dict[str, trio.CancelScope] = {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        request = HttpRequest.from_scope(scope)
        if request.path == "/control/runs":
            await send_json(send, status=OK, content=self.runs)
            return
        body = await read_body(
            receive, limit_bytes=MAX_BODY_BYTES, timeout_ms=BODY_TIMEOUT_MS
        )
        if isinstance(body, Err):
            await send_json(send, status=BAD_REQUEST, content={"code": "body"})
            return
        if request.path == "/control/fault":
            self.fault = msgspec.json.decode(body.ok_value, type=Fault)
            await send_json(send, status=OK, content=self.fault)
        elif request.path.startswith("/v1/cancel/"):
            self.cancel(request.path.rsplit("/", 1)[1])
            await send_json(send, status=OK, content={})
        else:
            await self._guarded(request, body.ok_value, receive, send)

    def cancel(self, request_id: str) -> None:
        """Cancel a running call."""
        scope = self.scopes.get(request_id)
        if scope is not None:
            scope.cancel()

    async def _guarded(
        self, request: HttpRequest, body: bytes, receive: Receive, send: Send
    ) -> None:
        """Run one call, which a cancel order can end."""
        request_id = request.headers.get("x-request-id", "")
        with trio.CancelScope() as scope:
            self.scopes[request_id] = scope
            try:
                await self.run_call(request, body, receive, send)
            finally:
                self.scopes.pop(request_id, None)

    async def run_call(
        self, request: HttpRequest, body: bytes, receive: Receive, send: Send
    ) -> None:
        """Run one call."""
        raise NotImplementedError
