"""Test that phase, record and admission of a sidecar cannot disagree."""

from pistachiohaven.components.admission import Dispatch, Refuse
from pistachiohaven.components.dispatch import Stage
from pistachiohaven.components.peer import OfferFacts
from pistachiohaven.components.sidecar import Known, SidecarCore
from pistachiohaven.components.sidecar._core import OFFER_AGE_MAX_MS
from pistachiohaven.core import Reason
from tests.work import make_work

WALL_MS = 10_000_000


def make_core() -> SidecarCore:
    core = SidecarCore(name="s", incarnation="s#1")
    core.lifecycle.serve()
    return core


def facts(request_id: str = "r1", attempt: int = 1, **changes: object) -> OfferFacts:
    return OfferFacts(
        work=make_work(request_id, **changes),
        attempt=attempt,
        incarnation="s#1",
        stamp_ms=WALL_MS,
    )


def reason_of(core: SidecarCore, offer: OfferFacts, wall_ms: int = WALL_MS) -> object:
    effect = core.offer(offer, now_ms=0, wall_ms=wall_ms)[0]
    return effect.reason if isinstance(effect, Refuse) else effect


def test_offer_after_the_drain_began_is_refused_for_good() -> None:
    core = make_core()
    core.lifecycle.drain(now_ms=0)
    assert reason_of(core, facts()) is Reason.DRAINING
    assert core.stage(facts()).stage is Stage.REFUSED
    assert reason_of(core, facts()) is Reason.TOMBSTONE


def test_withdrawal_buries_an_offer_that_arrives_later() -> None:
    core = make_core()
    assert core.withdraw(facts(), now_ms=0).stage is Stage.REFUSED
    assert reason_of(core, facts()) is Reason.TOMBSTONE
    assert isinstance(reason_of(core, facts(attempt=2)), Dispatch)


def test_dispatched_request_cannot_be_withdrawn() -> None:
    core = make_core()
    core.offer(facts(), now_ms=0, wall_ms=WALL_MS)
    assert core.withdraw(facts(), now_ms=0).stage is Stage.DISPATCHED


def test_second_try_of_a_key_finds_the_first() -> None:
    core = make_core()
    core.offer(facts("r1", key="k"), now_ms=0, wall_ms=WALL_MS)
    effects = core.offer(facts("r2", key="k"), now_ms=0, wall_ms=WALL_MS)
    assert isinstance(effects[0], Known) and effects[0].request_id == "r1"


def test_offer_of_a_woken_entry_is_too_old() -> None:
    late_ms = WALL_MS + OFFER_AGE_MAX_MS + 1
    assert reason_of(make_core(), facts(), late_ms) is Reason.OFFER_EXPIRED


def test_target_that_cannot_be_reached_leaves_the_request_not_run() -> None:
    core = make_core()
    core.offer(facts(), now_ms=0, wall_ms=WALL_MS)
    effects = core.handle_unsent("r1", now_ms=1)
    assert isinstance(effects[0], Refuse)
    assert effects[0].reason is Reason.TARGET_UNREACHABLE
    assert core.stage(facts()).stage is Stage.REFUSED
    assert core.admission.in_flight_count() == 0


def test_caller_that_left_never_cancels_a_non_idempotent_run() -> None:
    core = make_core()
    core.offer(facts(idempotent=False), now_ms=0, wall_ms=WALL_MS)
    assert core.abandon("r1", now_ms=1) == []
    assert core.stage(facts()).stage is Stage.DISPATCHED
