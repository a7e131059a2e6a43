"""Execution of the effects of the sidecar core."""

from collections.abc import Sequence
from functools import singledispatchmethod

import httpcore
import trio

from pistachiohaven.components.admission import Dispatch, Preempt, Refuse
from pistachiohaven.components.peer import OfferMessage
from pistachiohaven.components.target import (
    Target,
    cancel_path,
    count_response_tokens,
    target_headers,
)
from pistachiohaven.components.web import call, has_known_end, iter_content
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Reason
from pistachiohaven.helpers import Clock, ComponentLogger

from ._core import Effect, SidecarCore
from ._metrics import SidecarMetrics
from ._models import ReportDuplicate
from ._response import BufferedResponse, ResponseState
from ._store import ResponseStore
from .const import (
    CANCEL_TIMEOUT_MS,
    CONNECT_TIMEOUT_S,
    DEFAULT_TICK_INTERVAL_MS,
    RESUME_GRACE_MS,
    TARGET_READ_TIMEOUT_S,
)

_TIMEOUTS = {"connect": CONNECT_TIMEOUT_S, "read": TARGET_READ_TIMEOUT_S}


class EffectRunner:
    """Executor of the core's effects: it runs calls to the target and cancels them."""

    def __init__(
        self,
        *,
        core: SidecarCore,
        target: Target,
        pool: httpcore.AsyncConnectionPool,
        clock: Clock,
        log: ComponentLogger,
        nursery: trio.Nursery,
    ) -> None:
        self.core = core
        self.responses = ResponseStore()
        self.metrics = SidecarMetrics()
        self._target = target
        self._pool = pool
        self._clock = clock
        self._log = log
        self._nursery = nursery
        self._offer_messages: dict[str, OfferMessage] = {}
        self._call_scopes: dict[str, trio.CancelScope] = {}
        self._timer_reset = trio.Event()

    def offer(self, message: OfferMessage) -> list[Effect]:
        """Offer a request to the core and execute the effects."""
        work = message.facts.work
        self._offer_messages[work.request_id] = message
        effects = self.core.offer(
            message.facts,
            now_ms=self._clock.now_ms(),
            wall_ms=self._clock.wall_ms(),
        )
        if not any(self._declines_offer(effect, work.request_id) for effect in effects):
            self.responses.create(work.request_id)
        self.execute(effects)
        return effects

    @staticmethod
    def _declines_offer(effect: Effect, request_id: str) -> bool:
        """Return True if `effect` refuses the offer or reports it as a duplicate."""
        is_own = effect.work.request_id == request_id
        return is_own and isinstance(effect, ReportDuplicate | Refuse)

    def execute(self, effects: Sequence[Effect]) -> None:
        """Execute effects of the core in order."""
        for effect in effects:
            self._execute(effect)
        self._timer_reset.set()
        self.metrics.in_flight.set(self.core.admission.in_flight_count())

    @singledispatchmethod
    def _execute(self, effect: object) -> None:
        raise TypeError(f"not an effect of the sidecar core: {effect!r}")

    @_execute.register
    def _(self, effect: Dispatch) -> None:
        self.metrics.dispatches.labels(effect.work.rank).inc()
        self._nursery.start_soon(self._run_call, effect.work.request_id)

    @_execute.register
    def _(self, effect: Refuse) -> None:
        work = effect.work
        self._offer_messages.pop(work.request_id, None)
        self.metrics.refusals.labels(effect.reason, work.rank).inc()
        self._log.info("refused", request_id=work.request_id, reason=effect.reason)
        response = self.responses.get(work.request_id)
        if response is not None:
            response.retry_after_ms = effect.retry_after_ms
            response.finish(ResponseState.REFUSED, effect.reason)
            self.responses.close(work.request_id)

    @_execute.register
    def _(self, effect: Preempt) -> None:
        reason = self._cancel_reason(effect)
        self.metrics.wasted_prefill.labels(reason).inc(effect.wasted_tokens)
        self._cancel(effect.work.request_id, reason)

    @_execute.register
    def _(self, effect: ReportDuplicate) -> None:
        self._offer_messages.pop(effect.work.request_id, None)

    def _cancel_reason(self, effect: Preempt) -> Reason:
        """Return why a request was cancelled, according to the dispatch record."""
        message = self._offer_messages.get(effect.work.request_id)
        if message is None:
            return Reason.PREEMPTED
        return self.core.stage(message.facts).reason or Reason.PREEMPTED

    def _cancel(self, request_id: str, reason: Reason) -> None:
        """Cancel a running call and end its response for the readers."""
        self._log.info("cut", request_id=request_id, reason=reason)
        message = self._offer_messages.pop(request_id, None)
        rank = message.facts.work.rank if message else ""
        self.metrics.ends.labels(reason, rank).inc()
        scope = self._call_scopes.get(request_id)
        if scope is not None:
            scope.cancel()
        response = self.responses.get(request_id)
        if response is not None:
            response.finish(ResponseState.CUT, reason)
            self.responses.close(request_id)
        self._nursery.start_soon(self._cancel_at_target, request_id)

    async def _cancel_at_target(self, request_id: str) -> None:
        path = cancel_path(self._target, request_id)
        if path is not None:
            await call(
                self._pool,
                address=self._target.address,
                path=path,
                timeout_ms=CANCEL_TIMEOUT_MS,
            )

    # Calls to the target

    async def _run_call(self, request_id: str) -> None:
        """Send one request to the target and collect its response."""
        message = self._offer_messages.get(request_id)
        response = self.responses.get(request_id)
        if message is None or response is None:
            return
        with trio.CancelScope() as scope:
            self._call_scopes[request_id] = scope
            try:
                await self._call_target(message, response)
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                self._handle_unsent(request_id)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                OSError,
            ):
                self._handle_end(request_id, tokens=0, cut_reason=Reason.TARGET_FAILED)
            finally:
                del self._call_scopes[request_id]

    async def _call_target(
        self, message: OfferMessage, response: BufferedResponse
    ) -> None:
        """Send the call and append the response to its buffer chunk by chunk."""
        work = message.facts.work
        tokens = 0
        async with self._pool.stream(
            "POST",
            f"http://{self._target.address}{message.path}",
            headers=target_headers(
                self._target,
                request_id=work.request_id,
                content_type=message.content_type,
                body=message.body,
            ),
            content=message.body,
            extensions={"timeout": _TIMEOUTS},
        ) as target_response:
            headers = {name.lower(): value for name, value in target_response.headers}
            response.begin(
                status=target_response.status,
                content_type=headers.get(b"content-type", b"application/json"),
            )
            is_whole = has_known_end(target_response.status, headers)
            async for chunk in iter_content(target_response):
                is_whole = True
                if not tokens:
                    self._handle_first_byte(work.request_id)
                tokens += count_response_tokens(self._target, chunk) or 1
                response.append(chunk)
                await response.wait_for_space()
        # A target that ends right after a head without a length leaves the same.
        cut_reason = None if is_whole else Reason.TARGET_FAILED
        self._handle_end(work.request_id, tokens=tokens, cut_reason=cut_reason)

    def _handle_first_byte(self, request_id: str) -> None:
        now_ms = self._clock.now_ms()
        self.execute(self.core.handle_first_byte(request_id, now_ms=now_ms))

    def _handle_unsent(self, request_id: str) -> None:
        now_ms = self._clock.now_ms()
        self.execute(self.core.handle_unsent(request_id, now_ms=now_ms))

    def _handle_end(
        self, request_id: str, *, tokens: int, cut_reason: Reason | None
    ) -> None:
        """Record the end of a call; `cut_reason` is None for a complete response."""
        message = self._offer_messages.pop(request_id, None)
        if message is None:
            return
        rank = message.facts.work.rank
        self.metrics.ends.labels(cut_reason or "whole", rank).inc()
        self._log.info("ended", request_id=request_id, cut=cut_reason, tokens=tokens)
        response = self.responses.get(request_id)
        if response is not None:
            response.finish(
                ResponseState.CUT if cut_reason else ResponseState.WHOLE, cut_reason
            )
        self.responses.close(request_id)
        now_ms = self._clock.now_ms()
        self.execute(
            self.core.handle_end(
                request_id, tokens=tokens, cut_reason=cut_reason, now_ms=now_ms
            )
        )

    # Disconnected readers

    def handle_reader_closed(self, request_id: str, response: BufferedResponse) -> None:
        """Cancel the request after `RESUME_GRACE_MS` unless a reader resumes it."""
        if not response.is_ended and not response.reader_offsets:
            self._nursery.start_soon(self._abandon_after_grace, request_id, response)

    async def _abandon_after_grace(
        self, request_id: str, response: BufferedResponse
    ) -> None:
        await trio.sleep(RESUME_GRACE_MS / MS_PER_S)
        if not response.is_ended and not response.reader_offsets:
            self.abandon(request_id)

    def abandon(self, request_id: str) -> None:
        """Cancel a request whose response is not needed, if it may be cancelled."""
        response = self.responses.get(request_id)
        now_ms = self._clock.now_ms()
        effects = self.core.abandon(request_id, now_ms=now_ms)
        if (
            not effects
            and response is not None
            and request_id not in self.running_ids()
        ):
            response.finish(ResponseState.REFUSED, Reason.CALLER_LEFT)
            self.responses.close(request_id)
            self._offer_messages.pop(request_id, None)
        self.execute(effects)

    def running_ids(self) -> set[str]:
        """Return the ids of dispatched requests."""
        return set(self.core.admission.running)

    # Timer

    async def run_timer(self) -> None:
        """Tick the core whenever its next wakeup is due.

        Without a wakeup it is ticked after `DEFAULT_TICK_INTERVAL_MS`. Each execution
        of effects starts the wait again, with the wakeup that is then next.
        """
        while True:
            self._timer_reset = trio.Event()
            now_ms = self._clock.now_ms()
            wakeup_ms = self.core.admission.next_wakeup_ms(now_ms=now_ms)
            wait_ms = (
                DEFAULT_TICK_INTERVAL_MS if wakeup_ms is None else wakeup_ms - now_ms
            )
            with trio.move_on_after(max(wait_ms, 1) / MS_PER_S):
                await self._timer_reset.wait()
                continue
            self.execute(self.core.tick(now_ms=self._clock.now_ms()))
