"""Base class of the stand-ins for targets."""

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
    """Fault of a target.

    `slow` multiplies the duration of its work. Its streams break after
    `break_after_tokens`, unless that is 0.
    """

    slow: float = 1.0
    break_after_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class Runs:
    """Number of times that each job began and ended, and the prefill tokens used.

    `wasted_prefill_tokens` counts the prompt tokens of incomplete responses.
    """

    begun: dict[str, int] = field(default_factory=dict)
    ended: dict[str, int] = field(default_factory=dict)
    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0

    def begin(self, job: str) -> None:
        """Count a run of `job` that began."""
        self.begun[job] = self.begun.get(job, 0) + 1

    def end(self, job: str) -> None:
        """Count a run of `job` that ended without being cancelled."""
        self.ended[job] = self.ended.get(job, 0) + 1


class TargetStandIn:
    """Target that serves calls, run counts and faults; subclasses run the calls."""

    def __init__(self) -> None:
        self.runs = Runs()
        self.fault = Fault()
        self.cancel_scopes: dict[str, trio.CancelScope] = {}

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
            await self._run_cancellable(request, body.ok_value, receive, send)

    def cancel(self, request_id: str) -> None:
        """Cancel a running call."""
        scope = self.cancel_scopes.get(request_id)
        if scope is not None:
            scope.cancel()

    async def _run_cancellable(
        self, request: HttpRequest, body: bytes, receive: Receive, send: Send
    ) -> None:
        """Run one call in a scope that a cancel request can cancel."""
        request_id = request.headers.get("x-request-id", "")
        with trio.CancelScope() as scope:
            self.cancel_scopes[request_id] = scope
            try:
                await self.run_call(request, body, receive, send)
            finally:
                self.cancel_scopes.pop(request_id, None)

    async def run_call(
        self, request: HttpRequest, body: bytes, receive: Receive, send: Send
    ) -> None:
        """Run one call."""
        raise NotImplementedError
