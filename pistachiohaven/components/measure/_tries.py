"""Simulated entries, and the tries of callers that they process."""

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
    ClaimLost,
    ClaimRefused,
    DuplicateOffer,
    Event,
    Finish,
    Granted,
    NotSent,
    Polled,
    Refused,
    ResponseCompleted,
    ResponseLost,
    ResponseUnavailable,
    SendClaim,
    SendOffer,
    SendPoll,
    SendResume,
    SendWithdraw,
    StageReceived,
)
from pistachiohaven.components.membership import Membership
from pistachiohaven.components.peer import OfferFacts, StageResponse
from pistachiohaven.components.retry import RetryBudgets
from pistachiohaven.components.routing import Router
from pistachiohaven.components.sidecar import ReportDuplicate
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
CALL_TIMEOUT_MS = 1_000
"""Time after which an entry repeats a claim or a withdrawal without a response.

An entry waits four times as long for the response to an offer or a resume.
"""

DECODE_TOKENS = 600
"""Output size of a request; so large that a fake target runs few of them at once."""

MAX_QUEUE_MS = 400
POLL_DELAY_MS = 20
"""Time until a poll of the targets is complete."""

MAX_RECOVERY_TRIES = 3
"""Number of times that an entry sends a claim or a withdrawal before it gives up."""


class FakeEntry:
    """Process of an entry: its instance list, its router and its retry budgets."""

    def __init__(self, *, name: str, history: "History") -> None:
        self.name = name
        self.is_alive = True
        self.history = history
        self.membership = Membership()
        rng = random.Random(history.rng.random())
        self.router = Router(entry=name, rng=rng)
        self.budgets = RetryBudgets()
        self.skew_ms = history.rng.randint(-SKEW_MAX_MS, SKEW_MAX_MS)
        self.list_lag_ms = history.rng.choice((0, 500, 5_000, 30_000))

    def wall_ms(self) -> int:
        """Return the time of this node's wall clock."""
        return START_WALL_MS + self.history.events.now_ms + self.skew_ms

    def read_list(self) -> None:
        """Read the list with the entry's lag, and the reports of reachable sidecars."""
        read = self.history.list_as_of(self.history.events.now_ms - self.list_lag_ms)
        self.membership.apply_read(read)
        self.router.rebuild(self.membership, [POOL])
        for sidecar in self.history.sidecars.values():
            if sidecar.is_alive and self.history.can_reach(self.name, sidecar.name):
                self.router.apply_report(
                    sidecar.core.report(now_ms=self.history.events.now_ms),
                    measured_ms=self.history.events.now_ms,
                )


class Try:
    """One call of a caller, from its start to the outcome that it reports.

    Every action of the core advances `_step_number`. Events that belong to an earlier
    step arrive too late and are ignored.
    """

    def __init__(self, *, entry: FakeEntry, job: str, key: Key | None) -> None:
        self._entry = entry
        self._history = entry.history
        self._job = job
        self._key = key
        self._step_number = 0
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
        self._entry.budgets.record_request(organisation="org", rank=1, share=1.0)
        self.has_responded = False
        self._core = RequestCore(
            work=self._work,
            key=key,
            router=entry.router,
            budgets=entry.budgets,
        )

    def is_unanswered(self) -> bool:
        """Return True if the caller got no response although its entry is alive."""
        return self._entry.is_alive and not self.has_responded

    def start(self) -> None:
        """Start the call."""
        self._execute(self._core.start(now_ms=self._history.events.now_ms))

    def _execute(self, action: Action) -> None:
        self._step_number += 1
        if isinstance(action, Finish):
            self.has_responded = True
            self._history.record_response(self._job, action)
        elif isinstance(action, SendClaim):
            self._send_claim(action, remaining_tries=MAX_RECOVERY_TRIES)
        elif isinstance(action, SendOffer):
            self._send_offer(action)
        elif isinstance(action, SendWithdraw):
            self._send_withdraw(action, remaining_tries=MAX_RECOVERY_TRIES)
        elif isinstance(action, SendPoll):
            self._handle_event_later(self._step_number, Polled(), POLL_DELAY_MS)
        else:
            self._send_resume(action)

    def _handle_event(self, step_number: int, event: Event) -> None:
        """Handle `event` unless the request has advanced since `step_number`."""
        if step_number != self._step_number or not self._entry.is_alive:
            return
        self._execute(self._core.handle(event, now_ms=self._history.events.now_ms))

    def _send_event(self, sidecar: str, step_number: int, event: Event) -> None:
        """Send an event from a sidecar to the entry."""
        self._history.network.send(
            sidecar, self._entry.name, lambda: self._handle_event(step_number, event)
        )

    def _handle_event_later(
        self, step_number: int, event: Event, delay_ms: int = CALL_TIMEOUT_MS
    ) -> None:
        """Handle `event` after `delay_ms` unless the request has advanced by then."""
        self._history.schedule(
            self._entry.name, delay_ms, lambda: self._handle_event(step_number, event)
        )

    def _call_unless_advanced(
        self, step_number: int, callback: Callable[[], None]
    ) -> None:
        """Call `callback` after the timeout unless the request has advanced by then."""

        def check() -> None:
            if step_number == self._step_number and self._entry.is_alive:
                callback()

        self._history.schedule(self._entry.name, CALL_TIMEOUT_MS, check)

    # Claims

    def _send_claim(self, action: SendClaim, *, remaining_tries: int) -> None:
        key = self._key
        assert key is not None
        step_number = self._step_number
        owner_name = self._key_owner_name(key)
        if isinstance(owner_name, Reason):
            self._handle_event(step_number, ClaimRefused(reason=owner_name))
            return
        if remaining_tries == 0:
            self._handle_event(step_number, ClaimLost())
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
        sidecar = self._history.sidecars[owner_name]
        self._history.network.send(
            self._entry.name,
            owner_name,
            lambda: self._handle_claim(sidecar, claim, step_number),
        )
        self._call_unless_advanced(
            step_number,
            lambda: self._send_claim(action, remaining_tries=remaining_tries - 1),
        )

    def _handle_claim(
        self, sidecar: FakeSidecar, claim: Claim, step_number: int
    ) -> None:
        if not sidecar.is_alive:
            return
        result = sidecar.key_owner.claim(
            claim, now_ms=self._history.events.now_ms, wall_ms=sidecar.wall_ms()
        )
        event: Event
        if isinstance(result, Err):
            event = ClaimRefused(reason=result.err_value)
        else:
            event = Granted(grant=result.ok_value)
        self._send_event(sidecar.name, step_number, event)

    def _key_owner_name(self, key: Key) -> str | Reason:
        if isinstance(key, Ticket):
            return key.owner
        result = self._entry.membership.owner_of(
            key=f"org/{key.text}", stamp_ms=key.stamp_ms
        )
        return result.err_value if isinstance(result, Err) else result.ok_value.name

    # Offers, withdrawals and resumes

    def _offer_facts(self, action: SendOffer | SendWithdraw) -> OfferFacts:
        return OfferFacts(
            work=self._work,
            attempt=action.attempt,
            incarnation=action.incarnation,
            stamp_ms=self._stamp_ms,
        )

    def _send_offer(self, action: SendOffer) -> None:
        step_number = self._step_number
        sidecar = self._history.sidecars.get(action.sidecar)
        if sidecar is None or not sidecar.is_alive:
            self._handle_event(step_number, NotSent())
            return
        facts = self._offer_facts(action)

        def handle_arrival() -> None:
            if sidecar.is_alive:
                sidecar.offer(
                    facts,
                    self._job,
                    lambda update: self._send_update(sidecar.name, step_number, update),
                )

        self._history.network.send(self._entry.name, sidecar.name, handle_arrival)
        self._handle_event_later(step_number, ResponseLost(), 4 * CALL_TIMEOUT_MS)

    def _send_update(self, sidecar: str, step_number: int, update: object) -> None:
        """Send a sidecar's response to an offer or a resume to the entry."""
        event: Event = ResponseUnavailable()
        if isinstance(update, Refuse):
            event = Refused(reason=update.reason, retry_after_ms=update.retry_after_ms)
        elif isinstance(update, ReportDuplicate):
            event = DuplicateOffer(request_id=update.request_id, stage=update.stage)
        elif isinstance(update, StageResponse) and update.stage is Stage.FINISHED:
            event = ResponseCompleted()
        elif isinstance(update, StageResponse):
            event = StageReceived(response=update)
        self._send_event(sidecar, step_number, event)

    def _send_withdraw(self, action: SendWithdraw, *, remaining_tries: int) -> None:
        step_number = self._step_number
        if remaining_tries == 0:
            self._handle_event(step_number, StageReceived(response=None))
            return
        sidecar = self._history.sidecars[action.sidecar]
        facts = self._offer_facts(action)

        def handle_arrival() -> None:
            if sidecar.is_alive:
                response = sidecar.withdraw(facts)
                self._send_event(
                    sidecar.name, step_number, StageReceived(response=response)
                )

        self._history.network.send(self._entry.name, sidecar.name, handle_arrival)
        self._call_unless_advanced(
            step_number,
            lambda: self._send_withdraw(action, remaining_tries=remaining_tries - 1),
        )

    def _send_resume(self, action: SendResume) -> None:
        step_number = self._step_number
        sidecar = self._history.sidecars[action.sidecar]

        def handle_arrival() -> None:
            if not sidecar.is_alive:
                return
            if sidecar.core.incarnation != action.incarnation:
                self._send_event(sidecar.name, step_number, ResponseUnavailable())
                return
            sidecar.resume(
                action.request_id,
                lambda update: self._send_update(sidecar.name, step_number, update),
            )

        self._history.network.send(self._entry.name, sidecar.name, handle_arrival)
        self._handle_event_later(step_number, ResponseLost(), 4 * CALL_TIMEOUT_MS)
