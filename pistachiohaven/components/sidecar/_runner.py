"""Carry out what the sidecar's core decides."""

from collections.abc import Sequence
from functools import singledispatchmethod

import httpcore
import trio

from pistachiohaven.components.admission import Dispatch, Preempt, Refuse
from pistachiohaven.components.peer import OfferMessage
from pistachiohaven.components.target import (
    Target,
    answer_tokens,
    cancel_call,
    target_headers,
)
from pistachiohaven.components.web import call
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Reason
from pistachiohaven.helpers import Clock, PartLogger

from ._answer import Answer, AnswerState
from ._core import Effect, SidecarCore
from ._metrics import SidecarMetrics
from ._models import Known
from ._store import AnswerStore
from .const import (
    CANCEL_TIMEOUT_MS,
    CONNECT_TIMEOUT_S,
    RESUME_GRACE_MS,
    TARGET_SILENCE_S,
    TICK_MAX_MS,
)

_TIMEOUTS = {"connect": CONNECT_TIMEOUT_S, "read": TARGET_SILENCE_S}


class Runner:
    """Run calls to the target as the core's effects ask for."""

    def __init__(
        self,
        *,
        core: SidecarCore,
        target: Target,
        pool: httpcore.AsyncConnectionPool,
        clock: Clock,
        log: PartLogger,
        nursery: trio.Nursery,
    ) -> None:
        self.core = core
        self.answers = AnswerStore()
        self.metrics = SidecarMetrics()
        self._target = target
        self._pool = pool
        self._clock = clock
        self._log = log
        self._nursery = nursery
        self._messages: dict[str, OfferMessage] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._timer_reset = trio.Event()

    def offer(self, message: OfferMessage) -> list[Effect]:
        """Offer a request to the core and carry out what follows."""
        work = message.facts.work
        self._messages[work.request_id] = message
        effects = self.core.offer(
            message.facts,
            now_ms=self._clock.now_ms(),
            wall_ms=self._clock.wall_ms(),
        )
        if not any(self._declines(effect, work.request_id) for effect in effects):
            self.answers.open(work.request_id)
        self.carry_out(effects)
        return effects

    @staticmethod
    def _declines(effect: Effect, request_id: str) -> bool:
        """Return True if `effect` says that the offer was not taken in."""
        own = effect.work.request_id == request_id
        return own and isinstance(effect, Known | Refuse)

    def carry_out(self, effects: Sequence[Effect]) -> None:
        """Carry out effects of the core in order."""
        for effect in effects:
            self._carry_out(effect)
        self._timer_reset.set()
        self.metrics.in_hand.set(self.core.admission.in_flight_count())

    @singledispatchmethod
    def _carry_out(self, effect: object) -> None:
        raise TypeError(f"no such effect: {effect!r}")

    @_carry_out.register
    def _(self, effect: Dispatch) -> None:
        self.metrics.dispatches.labels(effect.work.rank).inc()
        self._nursery.start_soon(self._run, effect.work.request_id)

    @_carry_out.register
    def _(self, effect: Refuse) -> None:
        work = effect.work
        self._messages.pop(work.request_id, None)
        self.metrics.refusals.labels(effect.reason, work.rank).inc()
        self._log.info("refused", request_id=work.request_id, reason=effect.reason)
        answer = self.answers.get(work.request_id)
        if answer is not None:
            answer.retry_after_ms = effect.retry_after_ms
            answer.finish(AnswerState.REFUSED, effect.reason)
            self.answers.close(work.request_id)

    @_carry_out.register
    def _(self, effect: Preempt) -> None:
        reason = self._cut_reason(effect)
        self.metrics.wasted_prefill.labels(reason).inc(effect.wasted_tokens)
        self._cut(effect.work.request_id, reason)

    @_carry_out.register
    def _(self, effect: Known) -> None:
        self._messages.pop(effect.work.request_id, None)

    def _cut_reason(self, effect: Preempt) -> Reason:
        """Return why the core cancelled a request, from its record."""
        message = self._messages.get(effect.work.request_id)
        if message is None:
            return Reason.PREEMPTED
        return self.core.stage(message.facts).reason or Reason.PREEMPTED

    def _cut(self, request_id: str, reason: Reason) -> None:
        """Cancel a running call and tell its readers."""
        self._log.info("cut", request_id=request_id, reason=reason)
        message = self._messages.pop(request_id, None)
        rank = message.facts.work.rank if message else ""
        self.metrics.ends.labels(reason, rank).inc()
        scope = self._scopes.get(request_id)
        if scope is not None:
            scope.cancel()
        answer = self.answers.get(request_id)
        if answer is not None:
            answer.finish(AnswerState.CUT, reason)
            self.answers.close(request_id)
        self._nursery.start_soon(self._cancel_at_target, request_id)

    async def _cancel_at_target(self, request_id: str) -> None:
        path = cancel_call(self._target, request_id)
        if path is not None:
            await call(
                self._pool,
                address=self._target.address,
                path=path,
                timeout_ms=CANCEL_TIMEOUT_MS,
            )

    # Running

    async def _run(self, request_id: str) -> None:
        """Hand one request to the target and collect its answer."""
        message = self._messages.get(request_id)
        answer = self.answers.get(request_id)
        if message is None or answer is None:
            return
        with trio.CancelScope() as scope:
            self._scopes[request_id] = scope
            try:
                await self._exchange(message, answer)
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                self._handle_unsent(request_id)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                OSError,
            ):
                self._ended(request_id, tokens=0, cut=Reason.TARGET_FAILED)
            finally:
                del self._scopes[request_id]

    async def _exchange(self, message: OfferMessage, answer: Answer) -> None:
        """Send the call and take in the answer chunk by chunk."""
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
        ) as response:
            headers = {name.lower(): value for name, value in response.headers}
            answer.begin(
                status=response.status,
                content_type=headers.get(b"content-type", b"application/json"),
            )
            async for chunk in response.aiter_stream():
                if not tokens:
                    self._first_byte(work.request_id)
                tokens += answer_tokens(self._target, chunk) or 1
                answer.append(chunk)
                await answer.room()
        self._ended(work.request_id, tokens=tokens, cut=None)

    def _first_byte(self, request_id: str) -> None:
        now_ms = self._clock.now_ms()
        self.carry_out(self.core.first_byte(request_id, now_ms=now_ms))

    def _handle_unsent(self, request_id: str) -> None:
        now_ms = self._clock.now_ms()
        self.carry_out(self.core.handle_unsent(request_id, now_ms=now_ms))

    def _ended(self, request_id: str, *, tokens: int, cut: Reason | None) -> None:
        """Take in the end of a call."""
        message = self._messages.pop(request_id, None)
        if message is None:
            return
        rank = message.facts.work.rank
        self.metrics.ends.labels(cut or "whole", rank).inc()
        self._log.info("ended", request_id=request_id, cut=cut, tokens=tokens)
        answer = self.answers.get(request_id)
        if answer is not None:
            answer.finish(AnswerState.CUT if cut else AnswerState.WHOLE, cut)
        self.answers.close(request_id)
        now_ms = self._clock.now_ms()
        self.carry_out(
            self.core.ended(request_id, tokens=tokens, cut=cut, now_ms=now_ms)
        )

    # Readers that leave

    def reader_left(self, request_id: str, answer: Answer) -> None:
        """Give a broken connection a little time to come back."""
        if not answer.ended and not answer.readers:
            self._nursery.start_soon(self._abandon_later, request_id, answer)

    async def _abandon_later(self, request_id: str, answer: Answer) -> None:
        await trio.sleep(RESUME_GRACE_MS / MS_PER_S)
        if not answer.ended and not answer.readers:
            self.abandon(request_id)

    def abandon(self, request_id: str) -> None:
        """Cancel a request nobody waits for, as far as that is allowed."""
        answer = self.answers.get(request_id)
        now_ms = self._clock.now_ms()
        effects = self.core.abandon(request_id, now_ms=now_ms)
        if not effects and answer is not None and request_id not in self.running():
            answer.finish(AnswerState.REFUSED, Reason.CALLER_LEFT)
            self.answers.close(request_id)
            self._messages.pop(request_id, None)
        self.carry_out(effects)

    def running(self) -> set[str]:
        """Return the ids of dispatched requests."""
        return set(self.core.admission.running)

    # Time

    async def run_timer(self) -> None:
        """Step the core whenever it asked to be woken."""
        while True:
            self._timer_reset = trio.Event()
            now_ms = self._clock.now_ms()
            due_ms = self.core.admission.next_wakeup_ms(now_ms=now_ms)
            wait_ms = TICK_MAX_MS if due_ms is None else due_ms - now_ms
            with trio.move_on_after(max(wait_ms, 1) / MS_PER_S):
                await self._timer_reset.wait()
                continue
            self.carry_out(self.core.tick(now_ms=self._clock.now_ms()))
