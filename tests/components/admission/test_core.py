"""Test order, fairness, preemption and the shed rule of one sidecar."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiohaven.components.admission import (
    Admission,
    Dispatch,
    Effect,
    EngineLimit,
    Preempt,
    Refuse,
    ThresholdUpdate,
)
from pistachiohaven.components.admission.const import MAX_QUEUED, STREAM_TOKENS
from pistachiohaven.core import Reason
from tests.work import make_work

SHED = (Reason.OVERLOAD, Reason.QUEUE_DEADLINE, Reason.EVICTED)


ONE = 100 + STREAM_TOKENS
"""What a stream of 100 tokens takes of the decode limit."""


class FixedLimit(EngineLimit):
    """Hold a limit that does not move, to make crowds predictable."""

    def __init__(self, *, tokens: int) -> None:
        super().__init__()
        self.decode.tokens = tokens
        self.prefill.tokens = 1_000_000

    def late(self, **_signal: object) -> None:
        """Ignore late first tokens."""

    def token_gap(self, **_signal: object) -> None:
        """Ignore slow tokens."""


def small(tokens: int = ONE) -> Admission:
    return Admission(limit=FixedLimit(tokens=tokens))


def ids(effects: list[Effect], kind: type) -> list[str]:
    return [item.work.request_id for item in effects if isinstance(item, kind)]


def test_urgent_work_goes_first() -> None:
    admission = small()
    admission.offer(make_work("r0", decode_tokens=100), now_ms=0)
    admission.offer(make_work("low", rank=2, decode_tokens=100), now_ms=1)
    admission.offer(make_work("high", rank=0, decode_tokens=100), now_ms=2)
    effects = admission.ended("r0", tokens=1, whole=True, now_ms=3)
    assert ids(effects, Dispatch) == ["high"]


def test_small_organisation_is_not_pushed_back_by_a_large_one() -> None:
    admission = small()
    admission.offer(make_work("r0", decode_tokens=100), now_ms=0)
    for number in range(10):
        work = make_work(f"big{number}", organisation="big", decode_tokens=100)
        admission.offer(work, now_ms=1)
    small_work = make_work("small", organisation="small", decode_tokens=100)
    admission.offer(small_work, now_ms=2)
    order = []
    running = "r0"
    for _turn in range(3):
        effects = admission.ended(running, tokens=1, whole=True, now_ms=3)
        running = ids(effects, Dispatch)[0]
        order.append(running)
    assert "small" in order[:2]


def test_least_wasted_prefill_is_cancelled_first() -> None:
    admission = small(2 * ONE)
    for name, prompt in (("short", 10), ("long", 500)):
        work = make_work(name, rank=3, decode_tokens=100, prefill_tokens=prompt)
        admission.offer(work, now_ms=0)
    admission.offer(make_work("urgent", rank=0, decode_tokens=100), now_ms=1)
    effects = admission.tick(now_ms=500)
    assert ids(effects, Preempt) == ["short"]
    assert ids(effects, Dispatch) == ["urgent"]


def test_non_idempotent_work_is_never_cancelled_but_does_not_hold_up_urgent() -> None:
    admission = small()
    fixed = make_work("tag", rank=3, decode_tokens=100, idempotent=False)
    admission.offer(fixed, now_ms=0)
    admission.offer(make_work("urgent", rank=0, decode_tokens=100), now_ms=1)
    effects = admission.tick(now_ms=1_001)
    assert ids(effects, Preempt) == []
    assert ids(effects, Dispatch) == ["urgent"]


def test_full_queue_gives_up_its_least_urgent_work() -> None:
    admission = small()
    for number in range(MAX_QUEUED + 1):
        admission.offer(make_work(f"r{number}", rank=1, decode_tokens=100), now_ms=0)
    effects = admission.offer(make_work("late", rank=2, decode_tokens=100), now_ms=1)
    assert ids(effects, Refuse) == ["late"]
    effects = admission.offer(make_work("high", rank=0, decode_tokens=100), now_ms=1)
    assert "high" not in ids(effects, Refuse)


def test_late_first_token_shrinks_the_limit_before_it_comes() -> None:
    admission = Admission()
    before = admission.limit.decode.tokens
    for number in range(4):
        admission.offer(make_work(f"r{number}", prefill_tokens=10), now_ms=0)
    admission.tick(now_ms=2_000)
    assert admission.limit.decode.tokens < before


class AdmissionMachine(RuleBasedStateMachine):
    """Offer, end and wait in any order; check the shed rule after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = small(3 * ONE)
        self.now_ms = 0
        self.number = 0
        self.ends: dict[str, int] = {}
        self.dispatched: set[str] = set()

    def take(self, effects: list[Effect]) -> None:
        """Check effects: one end each, and no urgent work shed over lower work."""
        for effect in effects:
            name = effect.work.request_id
            if isinstance(effect, Dispatch):
                assert name not in self.dispatched
                self.dispatched.add(name)
                continue
            assert name not in self.ends
            self.ends[name] = 1
            if isinstance(effect, Preempt):
                assert effect.work.idempotent
                assert name in self.dispatched
            else:
                assert name not in self.dispatched
        shed = [
            effect.work.rank
            for effect in effects
            if isinstance(effect, Refuse) and effect.reason in SHED
        ]
        if shed:
            in_hand = self.admission.in_hand_ranks()
            assert all(rank <= max(shed) for rank in in_hand), (shed, in_hand)
            assert all(rank <= min(shed) for rank in in_hand), (shed, in_hand)

    @rule(
        rank=st.integers(0, 3),
        tokens=st.sampled_from([50, 100, 400]),
        organisation=st.sampled_from(["a", "b"]),
        idempotent=st.booleans(),
        max_queue_ms=st.sampled_from([0, 200, 2_000]),
        count=st.sampled_from([1, 1, 1, 90]),
    )
    def offer(
        self,
        rank: int,
        tokens: int,
        organisation: str,
        idempotent: bool,
        max_queue_ms: int,
        count: int,
    ) -> None:
        for _number in range(count):
            self.number += 1
            work = make_work(
                f"r{self.number}",
                rank=rank,
                decode_tokens=tokens,
                organisation=organisation,
                idempotent=idempotent,
                max_queue_ms=max_queue_ms,
            )
            self.take(self.admission.offer(work, now_ms=self.now_ms))

    @rule(rank=st.integers(0, 2))
    def refused_elsewhere(self, rank: int) -> None:
        update = ThresholdUpdate(rank=rank, left_ms=500)
        self.take(self.admission.raise_threshold(update, now_ms=self.now_ms))

    @rule(wait_ms=st.sampled_from([1, 100, 700]))
    def wait(self, wait_ms: int) -> None:
        end_ms = self.now_ms + wait_ms
        while True:
            due_ms = self.admission.next_wakeup_ms(now_ms=self.now_ms)
            if due_ms is None or due_ms > end_ms:
                break
            assert due_ms > self.now_ms
            self.now_ms = due_ms
            self.take(self.admission.tick(now_ms=self.now_ms))
        self.now_ms = end_ms
        self.take(self.admission.tick(now_ms=self.now_ms))

    @rule(which=st.integers(0, 10), whole=st.booleans())
    def end(self, which: int, whole: bool) -> None:
        running = list(self.admission.running)
        if running:
            name = running[which % len(running)]
            self.ends[name] = 1
            self.take(self.admission.first_byte(name, now_ms=self.now_ms))
            self.take(
                self.admission.ended(name, tokens=9, whole=whole, now_ms=self.now_ms)
            )

    @invariant()
    def every_request_is_in_one_place(self) -> None:
        waiting = {item.work.request_id for item in self.admission.queue}
        running = set(self.admission.running)
        assert not waiting & running
        assert not (waiting | running) & self.ends.keys()
        assert len(waiting | running) + len(self.ends) == self.number

    @invariant()
    def nothing_waits_beside_an_idle_target(self) -> None:
        self.take(self.admission.tick(now_ms=self.now_ms))
        if not self.admission.running and len(self.admission.queue):
            assert self.admission.next_wakeup_ms(now_ms=self.now_ms) is not None


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=120, stateful_step_count=30, deadline=None
)
