"""Tests of the state machine of one request."""

import random

import pytest

from pistachiohaven.components.dispatch import (
    KEY_SETTLED_MS,
    NO_SIDECAR,
    Grant,
    PlainKey,
    Release,
    Stage,
)
from pistachiohaven.components.entry import RequestCore
from pistachiohaven.components.entry._steps import (
    Action,
    ClaimLost,
    DeadlineExpired,
    Finish,
    Granted,
    NotSent,
    Polled,
    Refused,
    ResponseCompleted,
    ResponseLost,
    SendClaim,
    SendOffer,
    SendPoll,
    SendResume,
    SendWithdraw,
    StageReceived,
)
from pistachiohaven.components.membership import ListRead, ListVersion, Membership
from pistachiohaven.components.peer import Report, StageResponse
from pistachiohaven.components.retry import RetryBudgets
from pistachiohaven.components.routing import Router
from pistachiohaven.const import NO_RANK
from pistachiohaven.core import Outcome, Phase, Reason
from tests.work import make_instance, make_work

KEY = PlainKey(text="k", stamp_ms=1)


def make_report(name: str, lowest_rank: int = NO_RANK) -> Report:
    return Report(
        name=name,
        incarnation=f"{name}#1",
        phase=Phase.SERVING,
        backlog_by_rank=(0, 0, 0, 0),
        tokens_per_s=0.0,
        prefill_ms_per_token=0.0,
        lowest_rank=lowest_rank,
        in_hand=0,
        revision=1,
        list_version=1,
    )


def make_request_core(
    key: PlainKey | None = None,
    names: tuple[str, ...] = ("a", "b"),
    lowest_rank: int = 1,
    share: float = 1.0,
    **changes: object,
) -> RequestCore:
    membership = Membership()
    changed = tuple(make_instance(name) for name in names)
    version = ListVersion(version=1, published_ms=1, changed=changed)
    membership.apply_read(ListRead(versions=(version,), as_of_ms=2, snapshot=True))
    router = Router(entry="e", rng=random.Random(1))
    router.rebuild(membership, ["draft"])
    for name in names:
        router.apply_report(make_report(name, lowest_rank), measured_ms=0)
    budgets = RetryBudgets()
    budgets.record_request(organisation="org", rank=1, share=share)
    work = make_work(**changes)
    return RequestCore(work=work, key=key, router=router, budgets=budgets)


def finish_poll(core: RequestCore, action: Action, now_ms: int) -> Action:
    """Return the action after the poll, or `action` itself if it is not a poll."""
    if isinstance(action, SendPoll):
        return core.handle(Polled(), now_ms=now_ms)
    return action


def refused(reason: Reason) -> Refused:
    return Refused(reason=reason, retry_after_ms=700)


def test_final_refusal_allows_another_target() -> None:
    """A request offered to two targets at once could run twice.

    The second target receives its offer only after the refusal of the first, and the
    request ends as not run once both have refused.
    """
    core = make_request_core()
    first = core.start(now_ms=0)
    assert isinstance(first, SendOffer)
    second = core.handle(refused(Reason.OVERLOAD), now_ms=1)
    assert isinstance(second, SendOffer)
    assert (first.sidecar, first.attempt) != (second.sidecar, second.attempt)
    assert first.sidecar != second.sidecar
    poll = core.handle(refused(Reason.OVERLOAD), now_ms=2)
    end = finish_poll(core, poll, now_ms=3)
    assert end == Finish(
        outcome=Outcome.NOT_RUN, reason=Reason.OVERLOAD, retry_after_ms=700
    )


@pytest.mark.parametrize("reason", [Reason.WRONG_INCARNATION, Reason.OFFER_EXPIRED])
def test_refusal_of_one_copy_ends_as_unknown(reason: Reason) -> None:
    """Such a refusal covers one copy of the offer; another may have run."""
    core = make_request_core()
    core.start(now_ms=0)
    end = core.handle(refused(reason), now_ms=1)
    assert end == Finish(outcome=Outcome.UNKNOWN, reason=reason)


def test_lost_response_ends_as_unknown() -> None:
    """A sidecar that stalls and cannot be reached may have run the request."""
    core = make_request_core()
    core.start(now_ms=0)
    withdrawal = core.handle(ResponseLost(), now_ms=1)
    assert isinstance(withdrawal, SendWithdraw)
    end = core.handle(StageReceived(response=None), now_ms=2)
    assert end == Finish(outcome=Outcome.UNKNOWN, reason=Reason.SIDECAR_LOST)


def test_lost_sidecar_after_first_byte_ends_as_cut() -> None:
    """Response bytes prove that the lost request was dispatched."""
    core = make_request_core()
    core.start(now_ms=0)
    core.handle(ResponseLost(has_response_bytes=True), now_ms=1)
    end = core.handle(StageReceived(response=None), now_ms=2)
    assert end == Finish(outcome=Outcome.CUT_AFTER_DISPATCH, reason=Reason.SIDECAR_LOST)


def test_broken_stream_is_resumed() -> None:
    """A dispatched request whose connection broke is resumed, not offered again."""
    core = make_request_core()
    core.start(now_ms=0)
    core.handle(ResponseLost(), now_ms=1)
    response = StageResponse(request_id="r1", stage=Stage.DISPATCHED)
    assert isinstance(
        core.handle(StageReceived(response=response), now_ms=2), SendResume
    )
    assert core.handle(ResponseCompleted(), now_ms=3) == Finish(
        outcome=Outcome.ANSWERED
    )


def test_unsent_offer_moves_to_another_target() -> None:
    """A refused connection proves that the first target did not run the request."""
    core = make_request_core()
    first = core.start(now_ms=0)
    second = core.handle(NotSent(), now_ms=1)
    assert isinstance(first, SendOffer) and isinstance(second, SendOffer)
    assert first.sidecar != second.sidecar


def test_retry_budget_is_ignored_for_targets_with_less_urgent_work() -> None:
    """An urgent request must displace less urgent work even without retry budget.

    Without budget, a refused request ends as not run if no other target has less urgent
    work, and is offered again if one has.
    """
    no_budget_core = make_request_core(share=0.0)
    no_budget_core.start(now_ms=0)
    poll = no_budget_core.handle(refused(Reason.OVERLOAD), now_ms=1)
    end = finish_poll(no_budget_core, poll, now_ms=1)
    assert isinstance(end, Finish) and end.outcome is Outcome.NOT_RUN
    lower_rank_core = make_request_core(share=0.0, lowest_rank=3)
    lower_rank_core.start(now_ms=0)
    assert isinstance(
        lower_rank_core.handle(refused(Reason.OVERLOAD), now_ms=1), SendOffer
    )


def test_dispatched_request_past_its_deadline_is_cut_only_if_idempotent() -> None:
    """A non-idempotent request that is still running must be reported as unknown."""
    response = StageResponse(request_id="r1", stage=Stage.DISPATCHED)
    for idempotent, outcome in (
        (True, Outcome.CUT_AFTER_DISPATCH),
        (False, Outcome.UNKNOWN),
    ):
        core = make_request_core(idempotent=idempotent)
        core.start(now_ms=0)
        core.handle(DeadlineExpired(), now_ms=1)
        end = core.handle(StageReceived(response=response), now_ms=2)
        assert end == Finish(outcome=outcome, reason=Reason.DEADLINE)


def test_keyed_request_is_settled_with_its_key_owner_before_not_run() -> None:
    """Another try with the same key could run after this one reports not run.

    The key owner first has to grant the key to no sidecar. That grant expires, so a
    response that took KEY_SETTLED_MS is followed by another claim.
    """
    core = make_request_core(key=KEY, names=("a",))
    claim = core.start(now_ms=0)
    assert isinstance(claim, SendClaim) and claim.sidecar == "a"
    grant = Grant(sidecar="a", incarnation="a#1", attempt=1)
    core.handle(Granted(grant=grant), now_ms=1)
    poll = core.handle(refused(Reason.OVERLOAD), now_ms=2)
    release_claim = finish_poll(core, poll, now_ms=2)
    assert release_claim == SendClaim(
        sidecar=NO_SIDECAR, incarnation="", released_attempt=1, release=Release.REFUSED
    )
    no_sidecar = Grant(sidecar=NO_SIDECAR, incarnation="", attempt=2)
    repeated_claim = core.handle(Granted(grant=no_sidecar), now_ms=2 + KEY_SETTLED_MS)
    assert isinstance(repeated_claim, SendClaim)
    end = core.handle(Granted(grant=no_sidecar), now_ms=3 + KEY_SETTLED_MS)
    assert isinstance(end, Finish) and end.outcome is Outcome.NOT_RUN


def test_keyed_request_without_response_of_its_key_owner_is_unknown() -> None:
    """An earlier try with the same key may have run."""
    core = make_request_core(key=KEY)
    core.start(now_ms=0)
    end = core.handle(ClaimLost(), now_ms=1)
    assert isinstance(end, Finish) and end.outcome is Outcome.UNKNOWN
