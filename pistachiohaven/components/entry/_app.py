"""Take callers' requests over HTTP and see each to its one outcome."""

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
    send_reply,
)
from pistachiohaven.components.web.const import BAD_REQUEST, NOT_FOUND, OK
from pistachiohaven.const import MAX_BODY_BYTES, MS_PER_S
from pistachiohaven.core import Outcome, Phase, Reason
from pistachiohaven.helpers import make_uuid7

from ._exchange import Exchange
from ._intake import MODEL_PATHS, Intake, Mistake, find_key, find_leaf, take_in
from ._metrics import EntryMetrics
from ._reply import CallerReply
from ._request import RequestCore
from ._steps import Finish, Refused, SendOffer
from .const import (
    BODY_TIMEOUT_MS,
    CONTROL_TIMEOUT_MS,
    DEFAULT_RETRY_AFTER_MS,
    FIRST_PROBES,
    SERVICES_PREFIX,
    TICKETS_PATH,
)

SERVICE_UNAVAILABLE = 503

_BODY_REASONS = {
    BodyError.TOO_LARGE: Reason.BODY_TOO_LARGE,
    BodyError.TOO_SLOW: Reason.SLOW_SENDER,
    BodyError.LEFT: Reason.CALLER_LEFT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatus:
    """Say what an entry knows of one target."""

    name: str
    usable: bool
    lowest_rank: int
    tokens_per_s: float
    suspect: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Say what an entry knows and holds, for operators."""

    name: str
    phase: Phase
    revision: int
    list_version: int
    in_flight: list[str]
    targets: list[TargetStatus]


class EntryApp:
    """Route the calls that reach an entry."""

    def __init__(self, *, node: Node, router: Router) -> None:
        self.metrics = EntryMetrics()
        self._node = node
        self._router = router
        self._budgets = RetryBudgets()
        self._in_flight: set[str] = set()

    def in_flight(self) -> int:
        """Return the number of callers being served."""
        return len(self._in_flight)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        request = HttpRequest.from_scope(scope)
        if request.method == "POST" and request.path == wire.SYNC_PATH:
            await self._sync(receive, send)
        elif request.method == "POST" and request.path == TICKETS_PATH:
            await self._ticket(send)
        elif request.method == "POST" and _is_call(request.path):
            await self._call(request, receive, send)
        else:
            await self._get(request, send)

    # Callers

    async def _call(self, request: HttpRequest, receive: Receive, send: Send) -> None:
        """Serve one caller."""
        wall_ms = self._node.clock.wall_ms()
        request_id = make_uuid7(wall_ms=wall_ms, rng=self._node.rng)
        reply = CallerReply(send=send, request_id=request_id, stream=False)
        refusal = self._node.lifecycle.refusal()
        if refusal is not None:
            await self._refuse(reply, Mistake(reason=refusal, message="not serving"))
            return
        self._in_flight.add(request_id)
        try:
            intake = await self._take_in(request, receive, request_id, wall_ms)
            if isinstance(intake, Mistake):
                await self._refuse(reply, intake)
                return
            reply = CallerReply(send=send, request_id=request_id, stream=intake.stream)
            await self._serve(intake, reply, receive)
        finally:
            self._in_flight.discard(request_id)

    async def _take_in(
        self, request: HttpRequest, receive: Receive, request_id: str, wall_ms: int
    ) -> Intake | Mistake:
        """Read and check one request."""
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
            reason = _BODY_REASONS[body.err_value]
            return Mistake(reason=reason, message=f"body {body.err_value}")
        intake = take_in(
            request,
            body.ok_value,
            leaf=leaf.ok_value,
            key=key.ok_value,
            request_id=request_id,
            wall_ms=wall_ms,
        )
        return intake.err_value if isinstance(intake, Err) else intake.ok_value

    async def _refuse(self, reply: CallerReply, mistake: Mistake) -> None:
        """Refuse a request at the door."""
        self.metrics.refusals.labels(mistake.reason, "").inc()
        waits = mistake.reason in (Reason.DRAINING, Reason.STARTING, Reason.NO_SETTINGS)
        finish = Finish(
            outcome=Outcome.NOT_RUN,
            reason=mistake.reason,
            retry_after_ms=DEFAULT_RETRY_AFTER_MS if waits else 0,
        )
        await reply.error(finish, message=mistake.message, this_try=Outcome.NOT_RUN)

    async def _serve(
        self, intake: Intake, reply: CallerReply, receive: Receive
    ) -> None:
        """Drive one request to its outcome, unless the caller leaves first."""
        core = RequestCore(
            work=intake.work,
            key=intake.key,
            router=self._router,
            budgets=self._budgets,
            first_try=intake.first_try,
        )
        exchange = Exchange(
            core=core,
            intake=intake,
            reply=reply,
            node=self._node,
            router=self._router,
            metrics=self.metrics,
        )
        finished = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_caller, receive, nursery.cancel_scope)
            finish = await self._drive(intake, core, exchange)
            finished = True
            await self._finish(intake, exchange, reply, finish)
            nursery.cancel_scope.cancel()
        if not finished:
            self._tell_left(intake)
            await exchange.abandon()

    async def _drive(
        self, intake: Intake, core: RequestCore, exchange: Exchange
    ) -> Finish:
        """Perform one action after the other until the request is finished."""
        work = intake.work
        await self._know_some(work.pool)
        self._budgets.fresh(
            organisation=work.organisation,
            rank=work.rank,
            share=intake.leaf.retry_share,
        )
        action = core.start(now_ms=self._node.clock.now_ms())
        while not isinstance(action, Finish):
            event = await exchange.perform(action)
            self._log_step(work.request_id, action, event)
            action = core.handle(event, now_ms=self._node.clock.now_ms())
            if isinstance(event, Refused) and isinstance(action, SendOffer):
                self.metrics.retries.labels(event.reason, work.rank).inc()
        if action.reason is Reason.DEADLINE:
            await exchange.abandon()
        return action

    async def _finish(
        self, intake: Intake, exchange: Exchange, reply: CallerReply, finish: Finish
    ) -> None:
        """Tell the caller the outcome and count it."""
        rank = intake.work.rank
        self.metrics.outcomes.labels(finish.outcome, rank).inc()
        self._node.log.info(
            "finished",
            request_id=intake.work.request_id,
            outcome=finish.outcome,
            reason=finish.reason,
        )
        if finish.outcome is Outcome.ANSWERED:
            self.metrics.goodput.labels(rank).inc()
            await reply.whole()
            return
        self.metrics.refusals.labels(finish.reason, rank).inc()
        unsent = exchange.offers == 0
        this_try = Outcome.NOT_RUN if unsent else finish.outcome
        await reply.error(finish, message=_message(finish), this_try=this_try)

    def _tell_left(self, intake: Intake) -> None:
        self.metrics.refusals.labels(Reason.CALLER_LEFT, intake.work.rank).inc()
        self._node.log.info("caller_left", request_id=intake.work.request_id)

    def _log_step(self, request_id: str, action: object, event: object) -> None:
        self._node.log.info(
            "step",
            request_id=request_id,
            action=type(action).__name__,
            learnt=type(event).__name__,
            sidecar=getattr(action, "sidecar", ""),
            reason=getattr(event, "reason", None),
        )

    async def _ticket(self, send: Send) -> None:
        """Hand out a ticket that names a home and its incarnation."""
        views = [
            view
            for view in self._router.views()
            if view.incarnation and not view.instance.leaving
        ]
        if not views:
            content = {"code": Reason.NO_TARGET}
            await send_json(send, status=SERVICE_UNAVAILABLE, content=content)
            return
        near = [
            view
            for view in views
            if view.instance.data_centre == self._node.settings.data_centre
        ]
        view = self._node.rng.choice(near or views)
        wall_ms = self._node.clock.wall_ms()
        ticket = make_ticket(
            home=view.instance.name,
            incarnation=view.incarnation,
            nonce=make_uuid7(wall_ms=wall_ms, rng=self._node.rng),
        )
        await send_json(send, status=OK, content={"ticket": ticket})

    # Targets

    def rebuild(self) -> None:
        """Choose targets anew after a change of settings or list."""
        tree = self._node.store.tree
        listed = self._node.membership.instances(ROLE_SIDECAR)
        pools = {pool for item in listed for pool in item.pools}
        if tree is not None:
            wanted = {node.pool for node in tree.nodes.values() if node.pool}
            pools &= wanted
        self._router.rebuild(self._node.membership, sorted(pools))

    async def _know_some(self, pool: str) -> None:
        """Ask a few targets of `pool` for their report if none is known yet."""
        unknown = self._router.unknown(pool, count=FIRST_PROBES)
        if unknown and not self._router.knows_any(pool):
            async with trio.open_nursery() as nursery:
                for view in unknown:
                    nursery.start_soon(self.probe, view)

    async def probe(self, view: TargetView) -> None:
        """Ask one target for its report."""
        reply = await call(
            self._node.pool,
            address=view.instance.address,
            path=wire.REPORT_PATH,
            method="GET",
            timeout_ms=CONTROL_TIMEOUT_MS,
        )
        now_ms = self._node.clock.now_ms()
        if isinstance(reply, Err):
            view.suspect(now_ms=now_ms)
            return
        value = reply.ok_value.headers.get(wire.REPORT_HEADER.encode(), b"")
        report = decode_report(value)
        if report is not None:
            self._router.take_report(report, measured_ms=now_ms)

    # Peers and operators

    async def _sync(self, receive: Receive, send: Send) -> None:
        body = await read_body(
            receive, limit_bytes=MAX_CONTROL_BYTES, timeout_ms=BODY_TIMEOUT_MS
        )
        content = None
        if not isinstance(body, Err):
            content = self._node.answer_sync(body.ok_value)
        if content is None:
            code = {"code": Reason.BAD_REQUEST}
            await send_json(send, status=BAD_REQUEST, content=code)
            return
        await send_reply(send, status=OK, headers=[], body=content)

    async def _get(self, request: HttpRequest, send: Send) -> None:
        """Answer operators and probes."""
        if request.path == "/metrics":
            self._refresh_gauges()
            body = generate_latest(self.metrics.registry)
            await send_reply(send, status=OK, headers=[], body=body)
        elif request.path == "/healthz":
            await send_json(send, status=OK, content={"alive": True})
        elif request.path == "/readyz":
            ready = self._node.ready()
            status = OK if ready else SERVICE_UNAVAILABLE
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
                usable=view.usable(rank=0, now_ms=now_ms),
                lowest_rank=view.lowest_rank,
                tokens_per_s=view.tokens_per_ms() * MS_PER_S,
                suspect=view.suspected,
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


def _is_call(path: str) -> bool:
    return path in MODEL_PATHS or path.startswith(SERVICES_PREFIX)


def _message(finish: Finish) -> str:
    """Return one sentence for a caller without a whole answer."""
    if finish.outcome is Outcome.NOT_RUN:
        return "The request was not run."
    if finish.outcome is Outcome.CUT_AFTER_DISPATCH:
        return "The request began to run and has no whole answer."
    return "It is not known whether the request ran; retry with the same key."


async def _watch_caller(receive: Receive, scope: trio.CancelScope) -> None:
    """Cancel `scope` when the caller closes its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
