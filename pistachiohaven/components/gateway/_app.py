"""Serve callers, the balancer, peers and operators over HTTP."""

from urllib.parse import parse_qs

import trio
from prometheus_client import generate_latest
from result import Err

from pistachiohaven import platform
from pistachiohaven.components.web import (
    BodyError,
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
    send_reply,
)
from pistachiohaven.components.web.const import NOT_FOUND, OK, TOO_LARGE
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Reason
from pistachiohaven.helpers import BoundedLog

from ._call import BAD_REQUEST, Call, Mistake, read_call
from ._connections import ConnectionPool
from ._follow import PUBLISHED_PATH, published_answer
from ._reply import Reply
from ._request import UNAVAILABLE, BrokenAnswerError, RequestRun
from ._state import GatewayState
from .const import (
    DRAIN_ACCEPT_MS,
    MIN_RETRY_MS,
    MIN_STORE_ANSWER_MS,
    STALE_AFTER_MS,
    TURNED_AWAY_BYTES,
    TURNED_AWAY_MS,
)

REQUEST_TIMEOUT = 408

_BODY_STATUS = {
    BodyError.TOO_LARGE: (TOO_LARGE, Reason.BODY_TOO_LARGE),
    BodyError.TOO_SLOW: (REQUEST_TIMEOUT, Reason.SLOW_SENDER),
}


class GatewayApp:
    """Route what reaches a gateway by the port that it came to."""

    def __init__(
        self,
        *,
        state: GatewayState,
        pool: ConnectionPool,
        log_lines: BoundedLog | None = None,
    ) -> None:
        self._state = state
        self._pool = pool
        self._log_lines = log_lines
        self._caller_port = _port(state.settings.listen)
        self._readiness_port = _port(state.settings.listen_readiness)
        self.in_flight = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        port = scope["server"][1]
        if port == self._caller_port:
            await self._serve(scope, receive, send)
        elif port == self._readiness_port:
            status = OK if self._state.ready() else UNAVAILABLE
            await send_reply(send, status=status, headers=[], body=b"")
        else:
            await self._control(scope, send)

    # Callers

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one caller."""
        state = self._state
        now_ms = state.clock.now_ms()
        closing = state.leaving_since_ms is not None
        reply = Reply(send=send, clock=state.clock, closing=closing)
        call = self._admit(scope, now_ms=now_ms)
        if isinstance(call, Mistake):
            await self._turn_away(scope, receive, reply, call)
            return
        self.in_flight += 1
        state.metrics.in_flight.set(self.in_flight)
        try:
            await self._answer(call, reply, receive)
        finally:
            self.in_flight -= 1
            state.metrics.in_flight.set(self.in_flight)

    def _admit(self, scope: Scope, *, now_ms: int) -> Call | Mistake:
        """Return the request, or why it is turned away."""
        state = self._state
        leaving_ms = state.leaving_since_ms
        if leaving_ms is not None and now_ms - leaving_ms >= DRAIN_ACCEPT_MS:
            return Mistake(status=UNAVAILABLE, reason=Reason.DRAINING)
        if state.table is None:
            return Mistake(status=UNAVAILABLE, reason=Reason.NO_SETTINGS)
        fraction = state.rng.random()
        read = read_call(scope, state.table, fraction=fraction, now_ms=now_ms)
        if isinstance(read, Err):
            return self._checked(read.err_value)
        return read.ok_value

    async def _turn_away(
        self, scope: Scope, receive: Receive, reply: Reply, mistake: Mistake
    ) -> None:
        """Read a request to its end and refuse it.

        Closing a connection with unread bytes would take the refusal back.
        """
        body = await read_body(
            receive, limit_bytes=TURNED_AWAY_BYTES, timeout_ms=TURNED_AWAY_MS
        )
        if isinstance(body, Err):
            if body.err_value is BodyError.LEFT:
                return
            reply.close_after()
        attempt_id = platform.find_attempt(scope["headers"])
        wait_ms = MIN_STORE_ANSWER_MS if self._state.table is None else MIN_RETRY_MS
        await self._refuse(reply, mistake, attempt_id, wait_ms)

    def _checked(self, mistake: Mistake) -> Mistake:
        """Return `mistake`, softened while the configuration may be out of date."""
        silent_ms = self._state.store_silent_ms()
        stale = silent_ms is None or silent_ms > STALE_AFTER_MS
        if mistake.status == BAD_REQUEST or not stale:
            return mistake
        return Mistake(
            status=UNAVAILABLE, reason=mistake.reason, detail="configuration is stale"
        )

    async def _answer(self, call: Call, reply: Reply, receive: Receive) -> None:
        """Read the body and see the request to its end, unless the caller leaves."""
        state = self._state
        assert state.table is not None
        limits = state.table.config.limits
        body = await read_body(
            receive,
            limit_bytes=limits.max_body_bytes,
            timeout_ms=limits.header_timeout_ms,
        )
        if isinstance(body, Err):
            if body.err_value is BodyError.LEFT:
                self._log_end(call, reply, Reason.CALLER_LEFT)
                return
            status, reason = _BODY_STATUS[body.err_value]
            mistake = Mistake(status=status, reason=reason)
            await self._refuse(reply, mistake, call.head.attempt_id, MIN_RETRY_MS)
            return
        run = RequestRun(
            state=state, pool=self._pool, call=call, body=body.ok_value, reply=reply
        )
        broken: BrokenAnswerError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_caller, receive, reply, nursery.cancel_scope)
            try:
                await run.run()
            except BrokenAnswerError as error:
                broken = error
            nursery.cancel_scope.cancel()
        complete = reply.done or broken is not None
        end = run.reason if complete else Reason.CALLER_LEFT
        self._log_end(call, reply, end, detail=str(broken) if broken else "")

    async def _refuse(
        self,
        reply: Reply,
        mistake: Mistake,
        attempt_id: str | None,
        retry_after_ms: int,
    ) -> None:
        """Refuse a request that is not scheduled."""
        state = self._state
        retryable = mistake.status in (UNAVAILABLE, REQUEST_TIMEOUT)
        if mistake.status in (BAD_REQUEST, TOO_LARGE, REQUEST_TIMEOUT):
            reply.close_after()
        await reply.own(
            mistake.status,
            attempt_id=attempt_id,
            retry_after_ms=retry_after_ms if retryable else None,
        )
        version = state.table.config.version if state.table else None
        state.metrics.answers.labels(mistake.status, mistake.reason, "").inc()
        state.log.info(
            "refused",
            request_id=attempt_id,
            status=mistake.status,
            reason=mistake.reason,
            detail=mistake.detail,
            config_version=version,
            store_age_ms=state.store_silent_ms(),
        )

    def _log_end(
        self, call: Call, reply: Reply, reason: Reason | None, *, detail: str = ""
    ) -> None:
        state = self._state
        now_ms = state.clock.now_ms()
        first_ms = None
        if reply.first_byte_ms is not None:
            first_ms = reply.first_byte_ms - call.arrived_ms
            state.metrics.first_byte_s.labels(call.rank).observe(first_ms / MS_PER_S)
        state.metrics.answers.labels(reply.status, reason or "", call.rank).inc()
        state.log.info(
            "finished",
            request_id=call.head.attempt_id,
            route=call.route.name,
            rank=call.rank,
            status=reply.status,
            reason=reason,
            detail=detail,
            first_byte_ms=first_ms,
            total_ms=now_ms - call.arrived_ms,
            last_event_id=reply.last_event_id,
        )

    # Peers and operators

    async def _control(self, scope: Scope, send: Send) -> None:
        """Answer peers and operators."""
        path = scope["path"]
        if path == "/metrics":
            await self._metrics(send)
        elif path == PUBLISHED_PATH:
            query = parse_qs(scope["query_string"].decode("latin-1"))
            after = query.get("after", ["0"])[0]
            known = int(after) if after.isdigit() else 0
            body = published_answer(self._state, after=known)
            await send_reply(send, status=OK, headers=[], body=body)
        elif path == "/status":
            await send_json(send, status=OK, content=self._status())
        else:
            await send_json(send, status=NOT_FOUND, content={"code": "not_found"})

    async def _metrics(self, send: Send) -> None:
        metrics = self._state.metrics
        metrics.waiting.set(self._state.scheduler.waiting())
        metrics.connections_opened.set(self._pool.opened)
        if self._log_lines is not None:
            metrics.dropped_log_lines.set(self._log_lines.dropped)
        kind = (b"content-type", b"text/plain; version=0.0.4")
        body = generate_latest(metrics.registry)
        await send_reply(send, status=OK, headers=[kind], body=body)

    def _status(self) -> dict[str, object]:
        """Return what this gateway knows and holds, for operators."""
        state = self._state
        now_ms = state.clock.now_ms()
        return {
            "name": state.settings.name,
            "ready": state.ready(),
            "config_version": state.table.config.version if state.table else None,
            "revision": state.catalogue.revision,
            "store_age_ms": state.store_silent_ms(),
            "in_flight": self.in_flight,
            "waiting": state.scheduler.waiting(),
            "peers": [
                {"name": peer.member.name, "revision": peer.revision}
                for peer in state.exchange.live(now_ms=now_ms)
            ],
            "targets": [
                {
                    "name": load.target.name,
                    "pool": load.target.pool,
                    "leaving": load.target.leaving,
                    "running": load.running(now_ms=now_ms),
                    "own_running": load.own_running,
                    "token_ms": load.token_ms,
                    "failed_share": load.failed_share,
                    "suspect": load.suspect,
                }
                for load in state.scheduler.loads()
            ],
        }


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


async def _watch_caller(
    receive: Receive, reply: Reply, scope: trio.CancelScope
) -> None:
    """Cancel `scope` if the caller closes its connection before its answer is sent."""
    while (await receive())["type"] != "http.disconnect":
        pass
    if not reply.done:
        scope.cancel()
