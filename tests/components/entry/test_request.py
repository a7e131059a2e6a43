"""Test what one request does next."""

import random

import pytest

from pistachiohaven.components.dispatch import (
    NOBODY,
    SETTLED_MS,
    Grant,
    PlainKey,
    Release,
    Stage,
)
from pistachiohaven.components.entry import RequestCore
from pistachiohaven.components.entry._steps import (
    Action,
    ClaimLost,
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
    TimeUp,
    Whole,
)
from pistachiohaven.components.membership import ListRead, ListVersion, Membership
from pistachiohaven.components.peer import Report, StageAnswer
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


def make_core(
    key: PlainKey | None = None,
    names: tuple[str, ...] = ("a", "b"),
    lowest_rank: int = 1,
    share: float = 1.0,
    **changes: object,
) -> RequestCore:
    membership = Membership()
    changed = tuple(make_instance(name) for name in names)
    version = ListVersion(version=1, published_ms=1, changed=changed)
    membership.take_read(ListRead(versions=(version,), as_of_ms=2, snapshot=True))
    router = Router(entry="e", rng=random.Random(1))
    router.rebuild(membership, ["draft"])
    for name in names:
        router.take_report(make_report(name, lowest_rank), measured_ms=0)
    budgets = RetryBudgets()
    budgets.fresh(organisation="org", rank=1, share=share)
    work = make_work(**changes)
    return RequestCore(work=work, key=key, router=router, budgets=budgets)


def after_poll(core: RequestCore, action: Action, now_ms: int) -> Action:
    """Return what follows a look at the targets, if `action` is one."""
    if isinstance(action, SendPoll):
        return core.handle(Polled(), now_ms=now_ms)
    return action


def refused(reason: Reason) -> Refused:
    return Refused(reason=reason, retry_after_ms=700)


def test_goes_elsewhere_only_after_a_final_refusal() -> None:
    core = make_core()
    first = core.start(now_ms=0)
    assert isinstance(first, SendOffer)
    second = core.handle(refused(Reason.OVERLOAD), now_ms=1)
    assert isinstance(second, SendOffer)
    assert (first.sidecar, first.attempt) != (second.sidecar, second.attempt)
    assert first.sidecar != second.sidecar
    poll = core.handle(refused(Reason.OVERLOAD), now_ms=2)
    end = after_poll(core, poll, now_ms=3)
    assert end == Finish(
        outcome=Outcome.NOT_RUN, reason=Reason.OVERLOAD, retry_after_ms=700
    )


@pytest.mark.parametrize("reason", [Reason.WRONG_INCARNATION, Reason.OFFER_EXPIRED])
def test_refusal_of_one_copy_is_no_proof(reason: Reason) -> None:
    core = make_core()
    core.start(now_ms=0)
    end = core.handle(refused(reason), now_ms=1)
    assert end == Finish(outcome=Outcome.UNKNOWN, reason=reason)


def test_silence_proves_nothing() -> None:
    core = make_core()
    core.start(now_ms=0)
    asked = core.handle(Silent(), now_ms=1)
    assert isinstance(asked, SendWithdraw)
    end = core.handle(Staged(answer=None), now_ms=2)
    assert end == Finish(outcome=Outcome.UNKNOWN, reason=Reason.SIDECAR_LOST)


def test_lost_sidecar_after_a_first_byte_is_a_cut() -> None:
    core = make_core()
    core.start(now_ms=0)
    core.handle(Silent(has_response_bytes=True), now_ms=1)
    end = core.handle(Staged(answer=None), now_ms=2)
    assert end == Finish(outcome=Outcome.CUT_AFTER_DISPATCH, reason=Reason.SIDECAR_LOST)


def test_broken_stream_is_taken_up_again() -> None:
    core = make_core()
    core.start(now_ms=0)
    core.handle(Silent(), now_ms=1)
    answer = StageAnswer(request_id="r1", stage=Stage.DISPATCHED)
    assert isinstance(core.handle(Staged(answer=answer), now_ms=2), SendResume)
    assert core.handle(Whole(), now_ms=3) == Finish(outcome=Outcome.ANSWERED)


def test_unsent_offer_goes_elsewhere_and_the_target_is_left_out() -> None:
    core = make_core()
    first = core.start(now_ms=0)
    second = core.handle(NotSent(), now_ms=1)
    assert isinstance(first, SendOffer) and isinstance(second, SendOffer)
    assert first.sidecar != second.sidecar


def test_retry_budget_does_not_bind_while_lower_work_is_known() -> None:
    spent = make_core(share=0.0)
    spent.start(now_ms=0)
    poll = spent.handle(refused(Reason.OVERLOAD), now_ms=1)
    end = after_poll(spent, poll, now_ms=1)
    assert isinstance(end, Finish) and end.outcome is Outcome.NOT_RUN
    lower = make_core(share=0.0, lowest_rank=3)
    lower.start(now_ms=0)
    assert isinstance(lower.handle(refused(Reason.OVERLOAD), now_ms=1), SendOffer)


def test_dispatched_past_its_deadline_is_cut_only_if_idempotent() -> None:
    answer = StageAnswer(request_id="r1", stage=Stage.DISPATCHED)
    for idempotent, outcome in (
        (True, Outcome.CUT_AFTER_DISPATCH),
        (False, Outcome.UNKNOWN),
    ):
        core = make_core(idempotent=idempotent)
        core.start(now_ms=0)
        core.handle(TimeUp(), now_ms=1)
        end = core.handle(Staged(answer=answer), now_ms=2)
        assert end == Finish(outcome=outcome, reason=Reason.DEADLINE)


def test_keyed_request_asks_its_home_before_it_says_not_run() -> None:
    core = make_core(key=KEY, names=("a",))
    claimed = core.start(now_ms=0)
    assert isinstance(claimed, SendClaim) and claimed.sidecar == "a"
    grant = Grant(sidecar="a", incarnation="a#1", attempt=1)
    core.handle(Granted(grant=grant), now_ms=1)
    poll = core.handle(refused(Reason.OVERLOAD), now_ms=2)
    given_back = after_poll(core, poll, now_ms=2)
    assert given_back == SendClaim(
        sidecar=NOBODY, incarnation="", released_attempt=1, release=Release.REFUSED
    )
    nobody = Grant(sidecar=NOBODY, incarnation="", attempt=2)
    late = core.handle(Granted(grant=nobody), now_ms=2 + SETTLED_MS)
    assert isinstance(late, SendClaim)
    end = core.handle(Granted(grant=nobody), now_ms=3 + SETTLED_MS)
    assert isinstance(end, Finish) and end.outcome is Outcome.NOT_RUN


def test_keyed_request_without_an_answer_of_its_home_is_unknown() -> None:
    core = make_core(key=KEY)
    core.start(now_ms=0)
    end = core.handle(ClaimLost(), now_ms=1)
    assert isinstance(end, Finish) and end.outcome is Outcome.UNKNOWN
