"""Tests that lifecycle, dispatch record and admission of a sidecar stay consistent."""

from pistachiohaven.components.admission import Dispatch, Refuse
from pistachiohaven.components.dispatch import Stage
from pistachiohaven.components.peer import OfferFacts
from pistachiohaven.components.sidecar import ReportDuplicate, SidecarCore
from pistachiohaven.components.sidecar._core import MAX_OFFER_AGE_MS
from pistachiohaven.core import Reason
from tests.work import make_work

WALL_MS = 10_000_000


def make_core() -> SidecarCore:
    core = SidecarCore(name="s", incarnation="s#1")
    core.lifecycle.serve()
    return core


def make_facts(
    request_id: str = "r1", attempt: int = 1, **changes: object
) -> OfferFacts:
    return OfferFacts(
        work=make_work(request_id, **changes),
        attempt=attempt,
        incarnation="s#1",
        stamp_ms=WALL_MS,
    )


def reason_of(core: SidecarCore, offer: OfferFacts, wall_ms: int = WALL_MS) -> object:
    effect = core.offer(offer, now_ms=0, wall_ms=wall_ms)[0]
    return effect.reason if isinstance(effect, Refuse) else effect


def test_offer_after_the_start_of_a_drain_is_refused_permanently() -> None:
    """The refusal is recorded, so that a later copy of the offer cannot run."""
    core = make_core()
    core.lifecycle.drain(now_ms=0)
    assert reason_of(core, make_facts()) is Reason.DRAINING
    assert core.stage(make_facts()).stage is Stage.REFUSED
    assert reason_of(core, make_facts()) is Reason.TOMBSTONE


def test_withdrawn_offer_that_arrives_later_is_refused() -> None:
    """The withdrawal can overtake its offer; the next attempt is accepted."""
    core = make_core()
    assert core.withdraw(make_facts(), now_ms=0).stage is Stage.REFUSED
    assert reason_of(core, make_facts()) is Reason.TOMBSTONE
    assert isinstance(reason_of(core, make_facts(attempt=2)), Dispatch)


def test_dispatched_request_cannot_be_withdrawn() -> None:
    core = make_core()
    core.offer(make_facts(), now_ms=0, wall_ms=WALL_MS)
    assert core.withdraw(make_facts(), now_ms=0).stage is Stage.DISPATCHED


def test_second_request_with_a_key_is_reported_as_a_duplicate() -> None:
    core = make_core()
    core.offer(make_facts("r1", key="k"), now_ms=0, wall_ms=WALL_MS)
    effects = core.offer(make_facts("r2", key="k"), now_ms=0, wall_ms=WALL_MS)
    assert isinstance(effects[0], ReportDuplicate) and effects[0].request_id == "r1"


def test_offer_above_the_maximum_age_is_refused() -> None:
    """An entry that was suspended can send an offer after its tombstone expired."""
    late_ms = WALL_MS + MAX_OFFER_AGE_MS + 1
    assert reason_of(make_core(), make_facts(), late_ms) is Reason.OFFER_EXPIRED


def test_request_to_an_unreachable_target_is_recorded_as_not_run() -> None:
    core = make_core()
    core.offer(make_facts(), now_ms=0, wall_ms=WALL_MS)
    effects = core.handle_unsent("r1", now_ms=1)
    assert isinstance(effects[0], Refuse)
    assert effects[0].reason is Reason.TARGET_UNREACHABLE
    assert core.stage(make_facts()).stage is Stage.REFUSED
    assert core.admission.in_flight_count() == 0


def test_disconnect_of_the_caller_does_not_cancel_non_idempotent_work() -> None:
    core = make_core()
    core.offer(make_facts(idempotent=False), now_ms=0, wall_ms=WALL_MS)
    assert core.abandon("r1", now_ms=1) == []
    assert core.stage(make_facts()).stage is Stage.DISPATCHED
