"""Generate histories of faults and check that nothing is dispatched twice."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from pistachiohaven.components.admission import Refuse
from pistachiohaven.components.dispatch import (
    Claim,
    Key,
    KeyHome,
    Stage,
    Ticket,
    make_ticket,
    parse_key,
)
from pistachiohaven.components.entry._request import (
    Action,
    AlreadyKnown,
    AnswerGone,
    ClaimLost,
    ClaimRefused,
    Event,
    Finish,
    Granted,
    Looked,
    NotSent,
    Refused,
    RequestCore,
    SendClaim,
    SendLook,
    SendOffer,
    SendResume,
    SendWithdraw,
    Silent,
    Staged,
    Whole,
)
from pistachiohaven.components.membership import ListRead, ListVersion, Membership
from pistachiohaven.components.peer import OfferFacts, StageAnswer
from pistachiohaven.components.retry import RetryBudgets
from pistachiohaven.components.routing import Router
from pistachiohaven.components.sidecar import Known
from pistachiohaven.core import Instance, Outcome, Reason, Work
from pistachiohaven.helpers import make_uuid7

from ._events import EventQueue
from ._fakes import FakeSidecar, Faults, Job, Network
from .const import (
    HISTORY_MS,
    LISTED_BEFORE_MS,
    SETTLE_MS,
    SKEW_MAX_MS,
    START_WALL_MS,
)

POOL = "draft"
SIDECARS = 4
ENTRIES = 3
JOBS = 12
PATIENCE_MS = 1_000
"""Time after which an entry takes a call for lost."""

DECODE_TOKENS = 600
"""Size of a request, such that a fake target runs few at once."""

MAX_QUEUE_MS = 400
LAST_BURST_MS = 80_000
BURST_MS = 2_000
LOOK_MS = 20
LIST_READ_MS = 3_000
"""Time between two reads of the list by one entry."""

RECOVERY_TRIES = 3
"""Times an entry asks again before it gives up on an answer."""


FAULT_KINDS = (
    "kill",
    "kill",
    "pause",
    "pause_entry",
    "partition",
    "list",
    "drain",
    "kill_entry",
)


@dataclass(slots=True, kw_only=True)
class Told:
    """Hold what one try of a job was told, and when."""

    job: str
    outcome: Outcome
    reason: Reason | None
    at_ms: int


@dataclass(slots=True, kw_only=True)
class Verdict:
    """Hold what was found wrong in histories, and what was told."""

    histories: int = 0
    tries: int = 0
    doubles: int = 0
    ran_but_told_not: int = 0
    wrong_answers: int = 0
    overlooked: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def add(self, other: "Verdict") -> None:
        """Add the findings of other histories."""
        self.histories += other.histories
        self.tries += other.tries
        self.doubles += other.doubles
        self.ran_but_told_not += other.ran_but_told_not
        self.wrong_answers += other.wrong_answers
        self.overlooked += other.overlooked
        self.faults += other.faults
        for name, number in other.outcomes.items():
            self.outcomes[name] = self.outcomes.get(name, 0) + number

    def broken(self) -> int:
        """Return the number of broken promises."""
        return (
            self.doubles + self.ran_but_told_not + self.wrong_answers + self.overlooked
        )


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
        elif isinstance(action, SendLook):
            self._later(self._step, Looked(), LOOK_MS)
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
                    facts, self._job, lambda news: self._hear(sidecar.name, step, news)
                )

        self._history.network.send(self._entry.name, sidecar.name, arrive)
        self._later(step, Silent(), 4 * PATIENCE_MS)

    def _hear(self, sidecar: str, step: int, news: object) -> None:
        """Send back what a sidecar said of an offer."""
        event: Event = AnswerGone()
        if isinstance(news, Refuse):
            event = Refused(reason=news.reason, retry_after_ms=news.retry_after_ms)
        elif isinstance(news, Known):
            event = AlreadyKnown(request_id=news.request_id, stage=news.stage)
        elif isinstance(news, StageAnswer) and news.stage is Stage.FINISHED:
            event = Whole()
        elif isinstance(news, StageAnswer):
            event = Staged(answer=news)
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
                action.request_id, lambda news: self._hear(sidecar.name, step, news)
            )

        self._history.network.send(self._entry.name, sidecar.name, arrive)
        self._later(step, Silent(), 4 * PATIENCE_MS)


class History:
    """Run one seeded history with several entries, sidecars and lists."""

    def __init__(
        self,
        *,
        seed: int,
        home_kind: type[KeyHome] = KeyHome,
        fault_kinds: tuple[str, ...] = FAULT_KINDS,
        lossless: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.events = EventQueue()
        self._fault_kinds = fault_kinds
        loss = self.rng.choice((0.0, 0.02, 0.2))
        duplicate = self.rng.choice((0.0, 0.1, 0.3))
        faults = Faults() if lossless else Faults(loss=loss, duplicate=duplicate)
        self.network = Network(events=self.events, rng=self.rng, faults=faults)
        self.jobs: dict[str, Job] = {}
        self.told: list[Told] = []
        self.tries = 0
        self._calls: list[Try] = []
        self.tries_of: dict[str, int] = {}
        names = [f"sidecar-{number}" for number in range(SIDECARS)]
        self.sidecars = {
            name: FakeSidecar(
                name=name,
                events=self.events,
                network=self.network,
                rng=self.rng,
                jobs=self.jobs,
                home_kind=home_kind,
            )
            for name in names
        }
        self._versions = [
            ListVersion(
                version=1,
                published_ms=START_WALL_MS - LISTED_BEFORE_MS,
                changed=tuple(_instance(name) for name in names),
            )
        ]
        self.entries = [
            FakeEntry(name=f"entry-{number}", history=self) for number in range(ENTRIES)
        ]

    # What the fakes need

    def timer(self, node: str, delay_ms: int, act: Callable[[], None]) -> None:
        """Call `act` after `delay_ms`, when `node` is awake."""
        self.events.after(delay_ms, lambda: self.network.when_awake(node, act))

    def reach(self, one: str, other: str) -> bool:
        """Return True if two nodes are on the same side of a partition."""
        sides = self.network.side_of
        return sides.get(one, 0) == sides.get(other, 0)

    def list_as_of(self, at_ms: int) -> ListRead:
        """Return the list as it was published up to `at_ms`."""
        as_of_ms = START_WALL_MS + at_ms
        versions = tuple(
            item for item in self._versions if item.published_ms <= as_of_ms
        )
        return ListRead(versions=versions, as_of_ms=as_of_ms, snapshot=True)

    def tell(self, job: str, finish: Finish) -> None:
        """Note what a caller was told."""
        self.told.append(
            Told(
                job=job,
                outcome=finish.outcome,
                reason=finish.reason,
                at_ms=self.events.now_ms,
            )
        )

    # The history

    def run(self) -> Verdict:
        """Run the history and judge it."""
        for entry in self.entries:
            self._read_often(entry)
        bursts_ms = [self.rng.randint(10_000, LAST_BURST_MS) for _burst in range(2)]
        for number in range(JOBS):
            burst_ms = self.rng.choice(bursts_ms) + self.rng.randint(0, BURST_MS)
            self._plan_job(burst_ms, f"job-{self.seed}-{number}")
        for _number in range(self.rng.randint(1, 6)):
            near_ms = self.rng.choice(bursts_ms) + self.rng.randint(-5_000, 20_000)
            self.events.at(max(near_ms, 0), self._fault)
        self.events.run(until_ms=HISTORY_MS)
        self.network.side_of = {}
        self.events.run(until_ms=HISTORY_MS + SETTLE_MS)
        return self._judge()

    def _read_often(self, entry: FakeEntry) -> None:
        if entry.alive:
            entry.read_list()
            self.timer(entry.name, LIST_READ_MS, lambda: self._read_often(entry))

    def _plan_job(self, first_ms: int, job: str) -> None:
        """Plan one to three tries of a job, with no key, a plain key or a ticket."""
        self.jobs[job] = Job(name=job)
        kind = self.rng.choice(("none", "plain", "plain", "ticket", "ticket"))
        tries = 1 if kind == "none" else self.rng.randint(1, 3)
        self.events.at(first_ms, lambda: self._first_try(job, kind, tries))

    def _first_try(self, job: str, kind: str, tries: int) -> None:
        key = self._make_key(kind)
        self._try(job, key)
        for _number in range(tries - 1):
            pause_ms = self.rng.choice((0, 20, 3_000, 30_000))
            delay_ms = self.rng.randint(0, pause_ms)
            self.events.after(delay_ms, lambda: self._try(job, key))

    def _make_key(self, kind: str) -> Key | None:
        if kind == "none":
            return None
        skew_ms = self.rng.randint(-SKEW_MAX_MS, SKEW_MAX_MS)
        stamp_ms = START_WALL_MS + self.events.now_ms + skew_ms
        text = make_uuid7(wall_ms=stamp_ms, rng=self.rng)
        if kind == "ticket":
            home = self.rng.choice(list(self.sidecars.values()))
            text = make_ticket(
                home=home.name, incarnation=home.core.incarnation, nonce=text
            )
        return parse_key(text).unwrap()

    def _try(self, job: str, key: Key | None) -> None:
        entry = self.rng.choice(self.entries)
        if not entry.alive:
            return
        self.tries += 1
        self.tries_of[job] = self.tries_of.get(job, 0) + 1
        call = Try(entry=entry, job=job, key=key)
        self._calls.append(call)
        self.network.when_awake(entry.name, call.start)

    def _fault(self) -> None:
        """Hurt something."""
        if not self._fault_kinds:
            return
        kind = self.rng.choice(self._fault_kinds)
        sidecar = self.rng.choice(list(self.sidecars.values()))
        entry = self.rng.choice(self.entries)
        length_ms = self.rng.choice((300, 3_000, 30_000))
        now_ms = self.events.now_ms
        if kind == "kill" and sidecar.alive:
            sidecar.stop(down_ms=length_ms)
        elif kind == "pause":
            self.network.paused_until_ms[sidecar.name] = now_ms + length_ms
        elif kind == "pause_entry":
            self.network.paused_until_ms[entry.name] = now_ms + length_ms
        elif kind == "partition":
            self._partition(length_ms)
        elif kind == "list":
            self._change_list(sidecar.name)
        elif kind == "drain":
            sidecar.drain(down_ms=length_ms)
        elif kind == "kill_entry":
            entry.alive = False

    def _partition(self, length_ms: int) -> None:
        names = [*self.sidecars, *(entry.name for entry in self.entries)]
        self.network.side_of = {name: self.rng.randint(0, 1) for name in names}

        def heal() -> None:
            self.network.side_of = {}

        self.events.after(length_ms, heal)

    def _change_list(self, name: str) -> None:
        """Publish that an instance left the list, and later that it is back."""
        self._publish(removed=(name,))
        back_ms = self.rng.choice((5_000, 40_000))
        self.events.after(back_ms, lambda: self._publish(changed=(_instance(name),)))

    def _publish(
        self, *, changed: tuple[Instance, ...] = (), removed: tuple[str, ...] = ()
    ) -> None:
        version = ListVersion(
            version=len(self._versions) + 1,
            published_ms=START_WALL_MS + self.events.now_ms,
            changed=changed,
            removed=removed,
        )
        self._versions.append(version)

    # The judgement

    def _judge(self) -> Verdict:
        verdict = Verdict(histories=1, tries=self.tries)
        for job in self.jobs.values():
            if len(job.run_at_ms) > 1:
                verdict.doubles += 1
                verdict.faults.append(f"seed {self.seed}: {job.name} ran twice")
        for call in self._calls:
            if call.overlooked():
                verdict.overlooked += 1
                verdict.faults.append(f"seed {self.seed}: a caller was told nothing")
        for told in self.told:
            name = told.outcome.value
            verdict.outcomes[name] = verdict.outcomes.get(name, 0) + 1
            runs = self.jobs[told.job].run_at_ms
            if told.outcome is Outcome.NOT_RUN and self._had_run(told):
                verdict.ran_but_told_not += 1
                verdict.faults.append(f"seed {self.seed}: {told.job} told not run")
            if told.outcome is Outcome.ANSWERED and len(runs) != 1:
                verdict.wrong_answers += 1
        return verdict

    def _had_run(self, told: Told) -> bool:
        """Return True if a job told "not run" had run, or ran with no other try."""
        runs = self.jobs[told.job].run_at_ms
        if any(run_ms <= told.at_ms for run_ms in runs):
            return True
        others = [item for item in self.told if item.job == told.job]
        return bool(runs) and len(others) == 1 and self._only_try(told.job)

    def _only_try(self, job: str) -> bool:
        return self.tries_of.get(job, 0) == 1


def _instance(name: str) -> Instance:
    return Instance(
        name=name,
        role="sidecar",
        data_centre="dc-1",
        region="west",
        address=name,
        pools=(POOL,),
    )


def run_histories(
    *, first_seed: int, count: int, home_kind: type[KeyHome] = KeyHome
) -> Verdict:
    """Run `count` histories from `first_seed` on and add up their verdicts."""
    total = Verdict()
    for seed in range(first_seed, first_seed + count):
        total.add(History(seed=seed, home_kind=home_kind).run())
    return total
