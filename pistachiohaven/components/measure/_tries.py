"""Carry callers' tries through their core over the fake network."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err

from pistachiohaven.components.admission import Refuse
from pistachiohaven.components.dispatch import (
    Claim,
    Key,
    Stage,
    Ticket,
)
from pistachiohaven.components.entry._request import RequestCore
from pistachiohaven.components.entry._steps import (
    Action,
    AlreadyKnown,
    AnswerGone,
    ClaimLost,
    ClaimRefused,
    Event,
    Finish,
    Granted,
    NotSent,
    Polled,
    Refused,
    SendClaim,
    SendOffer,
    SendPoll,
    SendResume,
    SendWithdraw,
    Silent,
    Staged,
    Whole,
)
from pistachiohaven.components.membership import Membership
from pistachiohaven.components.peer import OfferFacts, StageAnswer
from pistachiohaven.components.retry import RetryBudgets
from pistachiohaven.components.routing import Router
from pistachiohaven.components.sidecar import Known
from pistachiohaven.core import Reason, Work
from pistachiohaven.helpers import make_uuid7

from ._fakes import FakeSidecar
from .const import (
    SKEW_MAX_MS,
    START_WALL_MS,
)

if TYPE_CHECKING:
    from ._history import History

POOL = "draft"
PATIENCE_MS = 1_000
"""Time after which an entry takes a call for lost."""

DECODE_TOKENS = 600
"""Size of a request, such that a fake target runs few at once."""

MAX_QUEUE_MS = 400
POLL_MS = 20
RECOVERY_TRIES = 3
"""Times an entry asks again before it gives up on an answer."""


class FakeEntry:
    """Drive requests through their core over the fake network."""

    def __init__(self, *, name: str, history: "History") -> None:
        self.name = name
        self.alive = True
        self.history = history
        self.membership = Membership()
        rng = random.Random(history.rng.random())
        self.router = Router(entry=name, rng=rng)
        self.budgets = RetryBudgets()
        self.skew_ms = history.rng.randint(-SKEW_MAX_MS, SKEW_MAX_MS)
        self.list_lag_ms = history.rng.choice((0, 500, 5_000, 30_000))

    def wall_ms(self) -> int:
        """Return this node's wall clock."""
        return START_WALL_MS + self.history.events.now_ms + self.skew_ms

    def read_list(self) -> None:
        """Read the list as of some time ago, and learn reports of those in reach."""
        read = self.history.list_as_of(self.history.events.now_ms - self.list_lag_ms)
        self.membership.take_read(read)
        self.router.rebuild(self.membership, [POOL])
        for sidecar in self.history.sidecars.values():
            if sidecar.alive and self.history.reach(self.name, sidecar.name):
                self.router.take_report(
                    sidecar.core.report(now_ms=self.history.events.now_ms),
                    measured_ms=self.history.events.now_ms,
                )


class Try:
    """Carry one call of a caller to its outcome."""

    def __init__(self, *, entry: FakeEntry, job: str, key: Key | None) -> None:
        self._entry = entry
        self._history = entry.history
        self._job = job
        self._key = key
        self._step = 0
        wall_ms = entry.wall_ms()
        self._stamp_ms = wall_ms
        self._work = Work(
            request_id=make_uuid7(wall_ms=wall_ms, rng=self._history.rng),
            organisation="org",
            rank=1,
            weight=1.0,
            pool=POOL,
            prefill_tokens=10,
            decode_tokens=DECODE_TOKENS,
            idempotent=False,
            max_queue_ms=MAX_QUEUE_MS,
            key="" if key is None else key.text,
        )
        self._entry.budgets.fresh(organisation="org", rank=1, share=1.0)
        self.told = False
        self._core = RequestCore(
            work=self._work,
            key=key,
            router=entry.router,
            budgets=entry.budgets,
        )

    def overlooked(self) -> bool:
        """Return True if the caller was told nothing though its entry lives."""
        return self._entry.alive and not self.told

    def start(self) -> None:
        """Begin the call."""
        self._perform(self._core.start(now_ms=self._history.events.now_ms))

    def _perform(self, action: Action) -> None:
        self._step += 1
        if isinstance(action, Finish):
            self.told = True
            self._history.tell(self._job, action)
        elif isinstance(action, SendClaim):
            self._claim(action, tries=RECOVERY_TRIES)
        elif isinstance(action, SendOffer):
            self._offer(action)
        elif isinstance(action, SendWithdraw):
            self._withdraw(action, tries=RECOVERY_TRIES)
        elif isinstance(action, SendPoll):
            self._later(self._step, Polled(), POLL_MS)
        else:
            self._resume(action)

    def _learn(self, step: int, event: Event) -> None:
        """Act on `event` unless the request has moved on since `step`."""
        if step != self._step or not self._entry.alive:
            return
        self._perform(self._core.handle(event, now_ms=self._history.events.now_ms))

    def _reply(self, sidecar: str, step: int, event: Event) -> None:
        """Send an event back from a sidecar."""
        self._history.network.send(
            sidecar, self._entry.name, lambda: self._learn(step, event)
        )

    def _later(self, step: int, event: Event, delay_ms: int = PATIENCE_MS) -> None:
        """Learn `event` after a while if nothing else came."""
        self._history.timer(
            self._entry.name, delay_ms, lambda: self._learn(step, event)
        )

    def _unless_moved(self, step: int, act: Callable[[], None]) -> None:
        """Call `act` after a while if nothing was learnt by then."""

        def check() -> None:
            if step == self._step and self._entry.alive:
                act()

        self._history.timer(self._entry.name, PATIENCE_MS, check)

    # Claims

    def _claim(self, action: SendClaim, *, tries: int) -> None:
        key = self._key
        assert key is not None
        step = self._step
        home = self._home(key)
        if isinstance(home, Reason):
            self._learn(step, ClaimRefused(reason=home))
            return
        if tries == 0:
            self._learn(step, ClaimLost())
            return
        claim = Claim(
            organisation="org",
            key=key.text,
            request_id=self._work.request_id,
            fingerprint=self._job,
            sidecar=action.sidecar,
            incarnation=action.incarnation,
            released_attempt=action.released_attempt,
            release=action.release,
        )
        sidecar = self._history.sidecars[home]
        self._history.network.send(
            self._entry.name, home, lambda: self._answer_claim(sidecar, claim, step)
        )
        self._unless_moved(step, lambda: self._claim(action, tries=tries - 1))

    def _answer_claim(self, sidecar: FakeSidecar, claim: Claim, step: int) -> None:
        if not sidecar.alive:
            return
        granted = sidecar.home.claim(
            claim, now_ms=self._history.events.now_ms, wall_ms=sidecar.wall_ms()
        )
        event: Event
        if isinstance(granted, Err):
            event = ClaimRefused(reason=granted.err_value)
        else:
            event = Granted(grant=granted.ok_value)
        self._reply(sidecar.name, step, event)

    def _home(self, key: Key) -> str | Reason:
        if isinstance(key, Ticket):
            return key.home
        home = self._entry.membership.home_of(
            key=f"org/{key.text}", stamp_ms=key.stamp_ms
        )
        return home.err_value if isinstance(home, Err) else home.ok_value.name

    # Offers and what follows them

    def _facts(self, action: SendOffer | SendWithdraw) -> OfferFacts:
        return OfferFacts(
            work=self._work,
            attempt=action.attempt,
            incarnation=action.incarnation,
            stamp_ms=self._stamp_ms,
        )

    def _offer(self, action: SendOffer) -> None:
        step = self._step
        sidecar = self._history.sidecars.get(action.sidecar)
        if sidecar is None or not sidecar.alive:
            self._learn(step, NotSent())
            return
        facts = self._facts(action)

        def arrive() -> None:
            if sidecar.alive:
                sidecar.offer(
                    facts,
                    self._job,
                    lambda update: self._hear(sidecar.name, step, update),
                )

        self._history.network.send(self._entry.name, sidecar.name, arrive)
        self._later(step, Silent(), 4 * PATIENCE_MS)

    def _hear(self, sidecar: str, step: int, update: object) -> None:
        """Send back what a sidecar said of an offer."""
        event: Event = AnswerGone()
        if isinstance(update, Refuse):
            event = Refused(reason=update.reason, retry_after_ms=update.retry_after_ms)
        elif isinstance(update, Known):
            event = AlreadyKnown(request_id=update.request_id, stage=update.stage)
        elif isinstance(update, StageAnswer) and update.stage is Stage.FINISHED:
            event = Whole()
        elif isinstance(update, StageAnswer):
            event = Staged(answer=update)
        self._reply(sidecar, step, event)

    def _withdraw(self, action: SendWithdraw, *, tries: int) -> None:
        step = self._step
        if tries == 0:
            self._learn(step, Staged(answer=None))
            return
        sidecar = self._history.sidecars[action.sidecar]
        facts = self._facts(action)

        def arrive() -> None:
            if sidecar.alive:
                answer = sidecar.withdraw(facts)
                self._reply(sidecar.name, step, Staged(answer=answer))

        self._history.network.send(self._entry.name, sidecar.name, arrive)
        self._unless_moved(step, lambda: self._withdraw(action, tries=tries - 1))

    def _resume(self, action: SendResume) -> None:
        step = self._step
        sidecar = self._history.sidecars[action.sidecar]

        def arrive() -> None:
            if not sidecar.alive:
                return
            if sidecar.core.incarnation != action.incarnation:
                self._reply(sidecar.name, step, AnswerGone())
                return
            sidecar.resume(
                action.request_id, lambda update: self._hear(sidecar.name, step, update)
            )

        self._history.network.send(self._entry.name, sidecar.name, arrive)
        self._later(step, Silent(), 4 * PATIENCE_MS)
