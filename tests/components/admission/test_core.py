"""Tests of order, fairness, preemption and shedding at one target."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiohaven.components.admission import (
    AdmissionController,
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


STREAM_COST_TOKENS = 100 + STREAM_TOKENS
"""Tokens that a stream of 100 tokens uses of the decode limit."""


class FixedLimit(EngineLimit):
    """Limit of a set size that never shrinks, so that tests can predict what fits."""

    def __init__(self, *, tokens: int) -> None:
        super().__init__()
        self.decode.tokens = tokens
        self.prefill.tokens = 1_000_000

    def record_late_first_token(self, **_signal: object) -> None:
        """Ignore late first tokens."""

    def record_token_gap(self, **_signal: object) -> None:
        """Ignore the time between tokens."""


def make_admission(tokens: int = STREAM_COST_TOKENS) -> AdmissionController:
    return AdmissionController(limit=FixedLimit(tokens=tokens))


def ids(effects: list[Effect], kind: type) -> list[str]:
    return [item.work.request_id for item in effects if isinstance(item, kind)]


def test_more_urgent_work_is_dispatched_first() -> None:
    admission = make_admission()
    admission.offer(make_work("r0", decode_tokens=100), now_ms=0)
    admission.offer(make_work("low", rank=2, decode_tokens=100), now_ms=1)
    admission.offer(make_work("high", rank=0, decode_tokens=100), now_ms=2)
    effects = admission.handle_end("r0", tokens=1, is_complete=True, now_ms=3)
    assert ids(effects, Dispatch) == ["high"]


def test_large_organisation_does_not_delay_a_small_one() -> None:
    """A large organisation has ten requests queued before the first of a small one."""
    admission = make_admission()
    admission.offer(make_work("r0", decode_tokens=100), now_ms=0)
    for number in range(10):
        work = make_work(f"big{number}", organisation="big", decode_tokens=100)
        admission.offer(work, now_ms=1)
    small_work = make_work("small", organisation="small", decode_tokens=100)
    admission.offer(small_work, now_ms=2)
    order = []
    running = "r0"
    for _turn in range(3):
        effects = admission.handle_end(running, tokens=1, is_complete=True, now_ms=3)
        running = ids(effects, Dispatch)[0]
        order.append(running)
    assert "small" in order[:2]


def test_shortest_prompt_is_preempted_first() -> None:
    admission = make_admission(2 * STREAM_COST_TOKENS)
    for name, prompt in (("short", 10), ("long", 500)):
        work = make_work(name, rank=3, decode_tokens=100, prefill_tokens=prompt)
        admission.offer(work, now_ms=0)
    admission.offer(make_work("urgent", rank=0, decode_tokens=100), now_ms=1)
    effects = admission.tick(now_ms=500)
    assert ids(effects, Preempt) == ["short"]
    assert ids(effects, Dispatch) == ["urgent"]


def test_non_idempotent_work_is_not_preempted_and_does_not_block_urgent() -> None:
    """The urgent request is dispatched beyond the limit at the end of its wait."""
    admission = make_admission()
    non_idempotent = make_work("tag", rank=3, decode_tokens=100, idempotent=False)
    admission.offer(non_idempotent, now_ms=0)
    admission.offer(make_work("urgent", rank=0, decode_tokens=100), now_ms=1)
    effects = admission.tick(now_ms=1_001)
    assert ids(effects, Preempt) == []
    assert ids(effects, Dispatch) == ["urgent"]


def test_full_queue_refuses_less_urgent_work_and_admits_more_urgent_work() -> None:
    admission = make_admission()
    for number in range(MAX_QUEUED + 1):
        admission.offer(make_work(f"r{number}", rank=1, decode_tokens=100), now_ms=0)
    effects = admission.offer(make_work("late", rank=2, decode_tokens=100), now_ms=1)
    assert ids(effects, Refuse) == ["late"]
    effects = admission.offer(make_work("high", rank=0, decode_tokens=100), now_ms=1)
    assert "high" not in ids(effects, Refuse)


def test_late_first_token_shrinks_the_limit_before_it_arrives() -> None:
    admission = AdmissionController()
    initial_tokens = admission.limit.decode.tokens
    for number in range(4):
        admission.offer(make_work(f"r{number}", prefill_tokens=10), now_ms=0)
    admission.tick(now_ms=2_000)
    assert admission.limit.decode.tokens < initial_tokens


class AdmissionMachine(RuleBasedStateMachine):
    """Random sequence of offers, ends, refusals elsewhere and waits.

    Each step checks that a request ends at most once and that no request is shed
    while less urgent work stays in flight.
    """

    def __init__(self) -> None:
        super().__init__()
        self.admission = make_admission(3 * STREAM_COST_TOKENS)
        self.now_ms = 0
        self.offered_count = 0
        self.ended: dict[str, int] = {}
        self.dispatched: set[str] = set()

    def check_effects(self, effects: list[Effect]) -> None:
        """Check that each request ends once and none is shed before less urgent work.

        Only idempotent dispatched requests may be preempted, and only undispatched
        ones refused.
        """
        for effect in effects:
            name = effect.work.request_id
            if isinstance(effect, Dispatch):
                assert name not in self.dispatched
                self.dispatched.add(name)
                continue
            assert name not in self.ended
            self.ended[name] = 1
            if isinstance(effect, Preempt):
                assert effect.work.idempotent
                assert name in self.dispatched
            else:
                assert name not in self.dispatched
        shed_ranks = [
            effect.work.rank
            for effect in effects
            if isinstance(effect, Refuse) and effect.reason in SHED
        ]
        if shed_ranks:
            in_flight = self.admission.in_flight_ranks()
            assert all(rank <= max(shed_ranks) for rank in in_flight), (
                shed_ranks,
                in_flight,
            )
            assert all(rank <= min(shed_ranks) for rank in in_flight), (
                shed_ranks,
                in_flight,
            )

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
            self.offered_count += 1
            work = make_work(
                f"r{self.offered_count}",
                rank=rank,
                decode_tokens=tokens,
                organisation=organisation,
                idempotent=idempotent,
                max_queue_ms=max_queue_ms,
            )
            self.check_effects(self.admission.offer(work, now_ms=self.now_ms))

    @rule(rank=st.integers(0, 2))
    def apply_refusal_elsewhere(self, rank: int) -> None:
        update = ThresholdUpdate(rank=rank, left_ms=500)
        self.check_effects(self.admission.raise_threshold(update, now_ms=self.now_ms))

    @rule(wait_ms=st.sampled_from([1, 100, 700]))
    def wait(self, wait_ms: int) -> None:
        end_ms = self.now_ms + wait_ms
        while True:
            due_ms = self.admission.next_wakeup_ms(now_ms=self.now_ms)
            if due_ms is None or due_ms > end_ms:
                break
            assert due_ms > self.now_ms
            self.now_ms = due_ms
            self.check_effects(self.admission.tick(now_ms=self.now_ms))
        self.now_ms = end_ms
        self.check_effects(self.admission.tick(now_ms=self.now_ms))

    @rule(index=st.integers(0, 10), is_complete=st.booleans())
    def end(self, index: int, is_complete: bool) -> None:
        running = list(self.admission.running)
        if running:
            name = running[index % len(running)]
            self.ended[name] = 1
            self.check_effects(
                self.admission.handle_first_byte(name, now_ms=self.now_ms)
            )
            self.check_effects(
                self.admission.handle_end(
                    name, tokens=9, is_complete=is_complete, now_ms=self.now_ms
                )
            )

    @invariant()
    def every_request_is_waiting_running_or_ended(self) -> None:
        waiting = {item.work.request_id for item in self.admission.queue}
        running = set(self.admission.running)
        assert not waiting & running
        assert not (waiting | running) & self.ended.keys()
        assert len(waiting | running) + len(self.ended) == self.offered_count

    @invariant()
    def waiting_work_on_an_idle_target_has_a_wakeup(self) -> None:
        self.check_effects(self.admission.tick(now_ms=self.now_ms))
        if not self.admission.running and len(self.admission.queue):
            assert self.admission.next_wakeup_ms(now_ms=self.now_ms) is not None


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=120, stateful_step_count=30, deadline=None
)
