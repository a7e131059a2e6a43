"""HTTP application of an entry."""

from dataclasses import asdict, dataclass

import trio
from prometheus_client import generate_latest
from result import Err

from pistachiohaven.components.dispatch import make_ticket
from pistachiohaven.components.membership import ROLE_SIDECAR
from pistachiohaven.components.node import Node
from pistachiohaven.components.node.const import MAX_CONTROL_BYTES
from pistachiohaven.components.peer import const as wire
from pistachiohaven.components.peer import decode_report
from pistachiohaven.components.retry import RetryBudgets
from pistachiohaven.components.routing import Router, TargetView
from pistachiohaven.components.web import (
    BodyError,
    HttpRequest,
    Receive,
    Scope,
    Send,
    call,
    read_body,
    send_json,
    send_response,
)
from pistachiohaven.components.web.const import BAD_REQUEST, NOT_FOUND, OK
from pistachiohaven.const import MAX_BODY_BYTES, MS_PER_S
from pistachiohaven.core import Outcome, Phase, Reason
from pistachiohaven.helpers import make_uuid7

from ._caller_request import (
    MODEL_PATHS,
    CallerRequest,
    RequestError,
    find_key,
    find_leaf,
    parse_request,
)
from ._caller_response import CallerResponse
from ._executor import ActionExecutor
from ._metrics import EntryMetrics
from ._request import RequestCore
from ._steps import Action, Event, Finish, Refused, SendOffer
from .const import (
    BODY_TIMEOUT_MS,
    CONTROL_TIMEOUT_MS,
    DEFAULT_RETRY_AFTER_MS,
    MAX_INITIAL_PROBES,
    SERVICES_PREFIX,
    TICKETS_PATH,
)

SERVICE_UNAVAILABLE = 503

_REASON_BY_BODY_ERROR = {
    BodyError.TOO_LARGE: Reason.BODY_TOO_LARGE,
    BodyError.TOO_SLOW: Reason.SLOW_SENDER,
    BodyError.LEFT: Reason.CALLER_LEFT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatus:
    """Status of one target as an entry sees it, for operators.

    `usable` is True if a request of rank 0 may be offered to the target; `lowest_rank`
    is the least urgent rank in flight, `NO_RANK` if the target is idle or unreported;
    `suspect` is True if the target is excluded after a failure.
    """

    name: str
    usable: bool
    lowest_rank: int
    tokens_per_s: float
    suspect: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Status of an entry, for operators.

    `revision` is that of the settings, `list_version` that of the instance list;
    `in_flight` lists request ids.
    """

    name: str
    phase: Phase
    revision: int
    list_version: int
    in_flight: list[str]
    targets: list[TargetStatus]


class EntryApp:
    """HTTP application that serves callers, peers and operators."""

    def __init__(self, *, node: Node, router: Router) -> None:
        self.metrics = EntryMetrics()
        self._node = node
        self._router = router
        self._budgets = RetryBudgets()
        self._in_flight: set[str] = set()

    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._in_flight)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Route one HTTP request to its handler."""
        request = HttpRequest.from_scope(scope)
        if request.method == "POST" and request.path == wire.SYNC_PATH:
            await self._sync(receive, send)
        elif request.method == "POST" and request.path == TICKETS_PATH:
            await self._issue_ticket(send)
        elif request.method == "POST" and _is_caller_path(request.path):
            await self._call(request, receive, send)
        else:
            await self._get(request, send)

    # Callers

    async def _call(self, request: HttpRequest, receive: Receive, send: Send) -> None:
        """Handle one request of a caller."""
        wall_ms = self._node.clock.wall_ms()
        request_id = make_uuid7(wall_ms=wall_ms, rng=self._node.rng)
        response = CallerResponse(send=send, request_id=request_id, stream=False)
        refusal = self._node.lifecycle.refusal()
        if refusal is not None:
            await self._refuse(
                response, RequestError(reason=refusal, message="not serving")
            )
            return
        self._in_flight.add(request_id)
        try:
            caller_request = await self._read_request(
                request, receive, request_id, wall_ms
            )
            if isinstance(caller_request, RequestError):
                await self._refuse(response, caller_request)
                return
            response = CallerResponse(
                send=send, request_id=request_id, stream=caller_request.stream
            )
            await self._serve(caller_request, response, receive)
        finally:
            self._in_flight.discard(request_id)

    async def _read_request(
        self, request: HttpRequest, receive: Receive, request_id: str, wall_ms: int
    ) -> CallerRequest | RequestError:
        """Read and validate one request."""
        leaf = find_leaf(request, self._node.store)
        if isinstance(leaf, Err):
            return leaf.err_value
        key = find_key(request)
        if isinstance(key, Err):
            return key.err_value
        body = await read_body(
            receive, limit_bytes=MAX_BODY_BYTES, timeout_ms=BODY_TIMEOUT_MS
        )
        if isinstance(body, Err):
            reason = _REASON_BY_BODY_ERROR[body.err_value]
            return RequestError(reason=reason, message=f"body {body.err_value}")
        parsed = parse_request(
            request,
            body.ok_value,
            leaf=leaf.ok_value,
            key=key.ok_value,
            request_id=request_id,
            wall_ms=wall_ms,
        )
        return parsed.err_value if isinstance(parsed, Err) else parsed.ok_value

    async def _refuse(
        self, response: CallerResponse, request_error: RequestError
    ) -> None:
        """Refuse a request on arrival."""
        self.metrics.refusals.labels(request_error.reason, "").inc()
        has_retry_after = request_error.reason in (
            Reason.DRAINING,
            Reason.STARTING,
            Reason.NO_SETTINGS,
        )
        finish = Finish(
            outcome=Outcome.NOT_RUN,
            reason=request_error.reason,
            retry_after_ms=DEFAULT_RETRY_AFTER_MS if has_retry_after else 0,
        )
        await response.send_error(
            finish, message=request_error.message, this_try=Outcome.NOT_RUN
        )

    async def _serve(
        self, caller_request: CallerRequest, response: CallerResponse, receive: Receive
    ) -> None:
        """Drive one request to its outcome, unless the caller disconnects first."""
        core = RequestCore(
            work=caller_request.work,
            key=caller_request.key,
            router=self._router,
            budgets=self._budgets,
            is_first_try=caller_request.is_first_try,
        )
        executor = ActionExecutor(
            core=core,
            caller_request=caller_request,
            caller_response=response,
            node=self._node,
            router=self._router,
            metrics=self.metrics,
        )
        is_finished = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            finish = await self._drive(caller_request, core, executor)
            is_finished = True
            await self._finish(caller_request, executor, response, finish)
            nursery.cancel_scope.cancel()
        if not is_finished:
            self._record_disconnect(caller_request)
            await executor.abandon()

    async def _drive(
        self, caller_request: CallerRequest, core: RequestCore, executor: ActionExecutor
    ) -> Finish:
        """Execute the actions of the request until it is finished."""
        work = caller_request.work
        await self._probe_unreported_targets(work.pool)
        self._budgets.record_request(
            organisation=work.organisation,
            rank=work.rank,
            share=caller_request.leaf.retry_share,
        )
        action = core.start(now_ms=self._node.clock.now_ms())
        while not isinstance(action, Finish):
            event = await executor.perform(action)
            self._log_step(work.request_id, action, event)
            action = core.handle(event, now_ms=self._node.clock.now_ms())
            if isinstance(event, Refused) and isinstance(action, SendOffer):
                self.metrics.retries.labels(event.reason, work.rank).inc()
        if action.reason is Reason.DEADLINE:
            await executor.abandon()
        return action

    async def _finish(
        self,
        caller_request: CallerRequest,
        executor: ActionExecutor,
        response: CallerResponse,
        finish: Finish,
    ) -> None:
        """Send the outcome to the caller, log it and count it."""
        rank = caller_request.work.rank
        self.metrics.outcomes.labels(finish.outcome, rank).inc()
        self._node.log.info(
            "finished",
            request_id=caller_request.work.request_id,
            outcome=finish.outcome,
            reason=finish.reason,
        )
        if finish.outcome is Outcome.ANSWERED:
            self.metrics.goodput.labels(rank).inc()
            await response.finish()
            return
        self.metrics.refusals.labels(finish.reason, rank).inc()
        is_unsent = executor.offer_count == 0
        this_try = Outcome.NOT_RUN if is_unsent else finish.outcome
        await response.send_error(
            finish, message=_outcome_message(finish), this_try=this_try
        )

    def _record_disconnect(self, caller_request: CallerRequest) -> None:
        self.metrics.refusals.labels(Reason.CALLER_LEFT, caller_request.work.rank).inc()
        self._node.log.info("caller_left", request_id=caller_request.work.request_id)

    def _log_step(self, request_id: str, action: Action, event: Event) -> None:
        self._node.log.info(
            "step",
            request_id=request_id,
            action=action.log_name,
            learnt=event.log_name,
            sidecar=getattr(action, "sidecar", ""),
            reason=getattr(event, "reason", None),
        )

    async def _issue_ticket(self, send: Send) -> None:
        """Send a new ticket, which names its key owner and the owner's incarnation.

        An owner in the data centre of this entry is preferred.
        """
        views = [
            view
            for view in self._router.views()
            if view.incarnation and not view.instance.leaving
        ]
        if not views:
            content = {"code": Reason.NO_TARGET}
            await send_json(send, status=SERVICE_UNAVAILABLE, content=content)
            return
        nearby_views = [
            view
            for view in views
            if view.instance.data_centre == self._node.settings.data_centre
        ]
        view = self._node.rng.choice(nearby_views or views)
        wall_ms = self._node.clock.wall_ms()
        ticket = make_ticket(
            owner=view.instance.name,
            incarnation=view.incarnation,
            nonce=make_uuid7(wall_ms=wall_ms, rng=self._node.rng),
        )
        await send_json(send, status=OK, content={"ticket": ticket})

    # Targets

    def rebuild_targets(self) -> None:
        """Update the targets after a change of the settings or the instance list."""
        tree = self._node.store.tree
        listed = self._node.membership.instances(ROLE_SIDECAR)
        pools = {pool for item in listed for pool in item.pools}
        if tree is not None:
            used_pools = {node.pool for node in tree.nodes.values() if node.pool}
            pools &= used_pools
        self._router.rebuild(self._node.membership, sorted(pools))

    async def _probe_unreported_targets(self, pool: str) -> None:
        """Probe up to MAX_INITIAL_PROBES targets of `pool` if none has reported yet."""
        views = self._router.unreported_targets(pool, count=MAX_INITIAL_PROBES)
        if views and not self._router.has_reports(pool):
            async with trio.open_nursery() as nursery:
                for view in views:
                    nursery.start_soon(self.probe, view)

    async def probe(self, view: TargetView) -> None:
        """Request the report of one target; mark it suspect if that fails."""
        response = await call(
            self._node.pool,
            address=view.instance.address,
            path=wire.REPORT_PATH,
            method="GET",
            timeout_ms=CONTROL_TIMEOUT_MS,
        )
        now_ms = self._node.clock.now_ms()
        if isinstance(response, Err):
            view.mark_suspect(now_ms=now_ms)
            return
        value = response.ok_value.headers.get(wire.REPORT_HEADER.encode(), b"")
        report = decode_report(value)
        if report is not None:
            self._router.apply_report(report, measured_ms=now_ms)

    # Peers and operators

    async def _sync(self, receive: Receive, send: Send) -> None:
        body = await read_body(
            receive, limit_bytes=MAX_CONTROL_BYTES, timeout_ms=BODY_TIMEOUT_MS
        )
        content = None
        if not isinstance(body, Err):
            content = self._node.respond_to_sync(body.ok_value)
        if content is None:
            code = {"code": Reason.BAD_REQUEST}
            await send_json(send, status=BAD_REQUEST, content=code)
            return
        await send_response(send, status=OK, headers=[], body=content)

    async def _get(self, request: HttpRequest, send: Send) -> None:
        """Handle requests of operators, health checks and metrics scrapes."""
        if request.path == "/metrics":
            self._refresh_gauges()
            body = generate_latest(self.metrics.registry)
            await send_response(send, status=OK, headers=[], body=body)
        elif request.path == "/healthz":
            await send_json(send, status=OK, content={"alive": True})
        elif request.path == "/readyz":
            is_ready = self._node.is_ready()
            status = OK if is_ready else SERVICE_UNAVAILABLE
            phase = self._node.lifecycle.phase
            await send_json(send, status=status, content={"phase": phase})
        elif request.path == "/status":
            await send_json(send, status=OK, content=asdict(self._status()))
        else:
            await send_json(send, status=NOT_FOUND, content={"code": "not_found"})

    def _refresh_gauges(self) -> None:
        node = self._node
        self.metrics.revision.set(node.store.revision)
        self.metrics.list_version.set(node.membership.version)
        self.metrics.control_bytes.set(node.control_bytes)
        self.metrics.platform_reads.set(node.platform.reads)
        self.metrics.stale_reads.set(node.gossip.stale_reads)

    def _status(self) -> Status:
        now_ms = self._node.clock.now_ms()
        targets = [
            TargetStatus(
                name=view.instance.name,
                usable=view.is_usable(rank=0, now_ms=now_ms),
                lowest_rank=view.lowest_rank,
                tokens_per_s=view.tokens_per_ms() * MS_PER_S,
                suspect=view.is_suspect,
            )
            for view in self._router.views()
        ]
        return Status(
            name=self._node.settings.name,
            phase=self._node.lifecycle.phase,
            revision=self._node.store.revision,
            list_version=self._node.membership.version,
            in_flight=sorted(self._in_flight),
            targets=targets,
        )


def _is_caller_path(path: str) -> bool:
    return path in MODEL_PATHS or path.startswith(SERVICES_PREFIX)


def _outcome_message(finish: Finish) -> str:
    """Return a one-sentence error message for a request without a complete response."""
    if finish.outcome is Outcome.NOT_RUN:
        return "The request was not run."
    if finish.outcome is Outcome.CUT_AFTER_DISPATCH:
        return "The request began to run and has no whole answer."
    return "It is not known whether the request ran; retry with the same key."


async def _cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    """Cancel `scope` when the caller closes its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
