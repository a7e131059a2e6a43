"""HTTP interface of a gateway for callers, the load balancer, peers and operators."""

from functools import partial
from urllib.parse import parse_qs

import trio
from prometheus_client import generate_latest
from result import Err

from pistachiohaven import platform
from pistachiohaven.components.memory import Holding
from pistachiohaven.components.web import (
    BodyError,
    Receive,
    Scope,
    Send,
    has_caller_left,
    read_body,
    send_json,
    send_response,
)
from pistachiohaven.components.web.const import NOT_FOUND, OK, TOO_LARGE
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Reason
from pistachiohaven.helpers import BoundedLog, parse_whole

from ._admit import admit_call
from ._call import BAD_REQUEST, Call, RequestError
from ._connections import ConnectionPool
from ._request import UNAVAILABLE, IncompleteResponseError, RequestHandler
from ._response import ResponseWriter
from ._state import GatewayState
from ._store_watch import STORE_RECORDS_PATH, encode_store_response
from ._where import WHERE_PATH, send_where
from .const import (
    MAX_REFUSED_BODY_BYTES,
    MIN_RETRY_AFTER_MS,
    NO_CONFIG_RETRY_AFTER_MS,
    REFUSED_BODY_TIMEOUT_MS,
)

REQUEST_TIMEOUT = 408

_BODY_ERRORS = {
    BodyError.TOO_LARGE: (TOO_LARGE, Reason.BODY_TOO_LARGE),
    BodyError.TOO_SLOW: (REQUEST_TIMEOUT, Reason.SLOW_SENDER),
    BodyError.NO_MEMORY: (UNAVAILABLE, Reason.NO_MEMORY),
}


class GatewayApp:
    """ASGI application of a gateway; the port of a request selects its handler."""

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
        self._caller_port = _parse_port(state.settings.listen)
        self._readiness_port = _parse_port(state.settings.listen_readiness)
        self.in_flight = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        port = scope["server"][1]
        if port == self._caller_port:
            await self._handle_caller(scope, receive, send)
        elif port == self._readiness_port:
            status = OK if self._state.is_ready() else UNAVAILABLE
            await send_response(send, status=status, headers=[], body=b"")
        else:
            await self._handle_control(scope, send)

    # Callers

    async def _handle_caller(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request of a caller."""
        state = self._state
        now_ms = state.clock.now_ms()
        response = ResponseWriter(
            send=send,
            clock=state.clock,
            is_draining=state.is_draining,
            has_caller_left=partial(has_caller_left, scope),
        )
        split_fraction = state.rng.random()
        call = admit_call(state, scope, split_fraction=split_fraction, now_ms=now_ms)
        if isinstance(call, RequestError):
            await self._refuse_on_arrival(scope, receive, response, call)
            return
        self.in_flight += 1
        state.metrics.in_flight.set(self.in_flight)
        try:
            await self._handle_call(call, response, receive)
        finally:
            self.in_flight -= 1
            state.metrics.in_flight.set(self.in_flight)

    async def _refuse_on_arrival(
        self,
        scope: Scope,
        receive: Receive,
        response: ResponseWriter,
        request_error: RequestError,
    ) -> None:
        """Read a request to its end and refuse it.

        Closing a connection with unread bytes resets it, and the caller would lose the
        refusal.
        """
        body = await read_body(
            receive,
            limit_bytes=MAX_REFUSED_BODY_BYTES,
            timeout_ms=REFUSED_BODY_TIMEOUT_MS,
            may_hold=lambda _: False,
        )
        if isinstance(body, Err):
            if body.err_value is BodyError.LEFT:
                return
            if body.err_value is not BodyError.NO_MEMORY:
                response.close_connection()
        attempt_id = platform.find_attempt_id(scope["headers"])
        retry_after_ms = (
            NO_CONFIG_RETRY_AFTER_MS
            if self._state.route_table is None
            else MIN_RETRY_AFTER_MS
        )
        await self._send_refusal(response, request_error, attempt_id, retry_after_ms)

    async def _handle_call(
        self, call: Call, response: ResponseWriter, receive: Receive
    ) -> None:
        """Read the body and handle the request, as far as there is memory for it."""
        holding = self._state.request_bytes.open()
        try:
            await self._handle_held_call(call, response, receive, holding)
        finally:
            holding.close()

    async def _handle_held_call(
        self, call: Call, response: ResponseWriter, receive: Receive, holding: Holding
    ) -> None:
        """Read the body and handle the request unless the caller disconnects."""
        state = self._state
        assert state.route_table is not None
        limits = state.route_table.config.limits
        body = await read_body(
            receive,
            limit_bytes=limits.max_body_bytes,
            timeout_ms=limits.header_timeout_ms,
            may_hold=holding.resize,
        )
        if isinstance(body, Err):
            if body.err_value is BodyError.LEFT:
                self._log_finished(call, response, Reason.CALLER_LEFT)
                return
            status, reason = _BODY_ERRORS[body.err_value]
            request_error = RequestError(status=status, reason=reason)
            await self._send_refusal(
                response, request_error, call.head.attempt_id, MIN_RETRY_AFTER_MS
            )
            return
        if not state.accepts_requests():
            # The body came while the gateway drained.
            request_error = RequestError(status=UNAVAILABLE, reason=Reason.DRAINING)
            await self._send_refusal(
                response, request_error, call.head.attempt_id, MIN_RETRY_AFTER_MS
            )
            return
        handler = RequestHandler(
            state=state,
            pool=self._pool,
            call=call,
            body=body.ok_value,
            response=response,
        )
        incomplete: IncompleteResponseError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, receive, response, nursery.cancel_scope
            )
            try:
                await handler.run()
            except IncompleteResponseError as error:
                incomplete = error
            nursery.cancel_scope.cancel()
        is_finished = response.is_complete or incomplete is not None
        end_reason = handler.reason if is_finished else Reason.CALLER_LEFT
        self._log_finished(
            call,
            response,
            end_reason,
            version=handler.version,
            detail=str(incomplete) if incomplete else "",
        )

    async def _send_refusal(
        self,
        response: ResponseWriter,
        request_error: RequestError,
        attempt_id: str | None,
        retry_after_ms: int,
    ) -> None:
        """Refuse a request that was not scheduled, and log it."""
        state = self._state
        is_retryable = request_error.status in (UNAVAILABLE, REQUEST_TIMEOUT)
        if request_error.status in (BAD_REQUEST, TOO_LARGE, REQUEST_TIMEOUT):
            response.close_connection()
        await response.send_status(
            request_error.status,
            attempt_id=attempt_id,
            retry_after_ms=retry_after_ms if is_retryable else None,
        )
        config_version = state.route_table.config.version if state.route_table else None
        state.metrics.responses.labels(
            request_error.status, request_error.reason, ""
        ).inc()
        state.log.info(
            "refused",
            request_id=attempt_id,
            status=request_error.status,
            reason=request_error.reason,
            detail=request_error.detail,
            config_version=config_version,
            config_age_ms=state.config_age_ms(),
            store_age_ms=state.store_response_age_ms(),
        )

    def _log_finished(
        self,
        call: Call,
        response: ResponseWriter,
        reason: Reason | None,
        *,
        version: str | None = None,
        detail: str = "",
    ) -> None:
        """Log the end of a request and update the metrics."""
        state = self._state
        now_ms = state.clock.now_ms()
        first_byte_ms = None
        if response.first_byte_at_ms is not None:
            first_byte_ms = response.first_byte_at_ms - call.arrived_ms
            state.metrics.first_byte_s.labels(call.rank).observe(
                first_byte_ms / MS_PER_S
            )
        state.metrics.responses.labels(response.status, reason or "", call.rank).inc()
        state.log.info(
            "finished",
            request_id=call.head.attempt_id,
            route=call.route.name,
            rank=call.rank,
            prompt_tokens=call.head.prompt_tokens,
            max_output_tokens=call.head.max_output_tokens,
            expected_output_tokens=call.head.expected_output_tokens,
            status=response.status,
            reason=reason,
            version=version,
            detail=detail,
            first_byte_ms=first_byte_ms,
            total_ms=now_ms - call.arrived_ms,
            deadline_ms=call.deadline_ms - call.arrived_ms,
            last_event_id=response.last_event_id,
        )

    # Peers and operators

    async def _handle_control(self, scope: Scope, send: Send) -> None:
        """Handle a request of a peer or an operator."""
        path = scope["path"]
        if path == "/metrics":
            await self._send_metrics(send)
        elif path == STORE_RECORDS_PATH:
            query = parse_qs(scope["query_string"].decode("latin-1"))
            after = query.get("after", ["0"])[0]
            after_revision = parse_whole(after) or 0
            body = encode_store_response(self._state, after=after_revision)
            await send_response(send, status=OK, headers=[], body=body)
        elif path == WHERE_PATH:
            await send_where(self._state, scope, send)
        elif path == "/status":
            await send_json(send, status=OK, content=self._build_status())
        else:
            await send_json(send, status=NOT_FOUND, content={"code": "not_found"})

    async def _send_metrics(self, send: Send) -> None:
        metrics = self._state.metrics
        for kind, budget in (
            ("request", self._state.request_bytes),
            ("response", self._state.response_bytes),
        ):
            metrics.held_bytes.labels(kind).set(budget.held_bytes)
            metrics.held_bytes_limit.labels(kind).set(budget.limit_bytes)
        metrics.waiting.set(self._state.scheduler.waiting())
        metrics.connections_opened.set(self._pool.opened_count)
        if self._log_lines is not None:
            metrics.dropped_log_lines.set(self._log_lines.dropped)
        content_type = (b"content-type", b"text/plain; version=0.0.4")
        body = generate_latest(metrics.registry)
        await send_response(send, status=OK, headers=[content_type], body=body)

    def _build_status(self) -> dict[str, object]:
        """Return the status document for operators."""
        state = self._state
        now_ms = state.clock.now_ms()
        return {
            "name": state.settings.name,
            "ready": state.is_ready(),
            "config_version": state.route_table.config.version
            if state.route_table
            else None,
            "revision": state.catalogue.revision,
            "config_age_ms": state.config_age_ms(),
            "store_age_ms": state.store_response_age_ms(),
            "in_flight": self.in_flight,
            "waiting": state.scheduler.waiting(),
            "evacuations": [
                {
                    "data_centre": evacuation.data_centre,
                    "revision": evacuation.revision,
                    "source": evacuation.source,
                    "age_ms": now_ms - evacuation.learned_ms,
                    "is_held": evacuation.held_until_ms is not None,
                }
                for evacuation in state.evacuations.all()
            ],
            "peers": [
                {"name": peer.member.name, "revision": peer.revision}
                for peer in state.exchange.live_peers(now_ms=now_ms)
            ],
            "targets": [
                {
                    "name": load.target.name,
                    "pool": load.target.pool,
                    "leaving": load.is_leaving,
                    "paused_ms": load.paused_ms(now_ms=now_ms),
                    "running": load.running(now_ms=now_ms),
                    "own_running": load.own_running,
                    "token_ms": load.token_ms,
                    "failed_share": load.failed_share,
                    "suspect": load.is_suspect,
                }
                for load in state.scheduler.loads()
            ],
        }


def _parse_port(address: str) -> int:
    return int(address.rpartition(":")[2])


async def _cancel_on_disconnect(
    receive: Receive, response: ResponseWriter, scope: trio.CancelScope
) -> None:
    """Cancel `scope` if the caller disconnects before its response is complete."""
    while (await receive())["type"] != "http.disconnect":
        pass
    if not response.is_complete:
        scope.cancel()
