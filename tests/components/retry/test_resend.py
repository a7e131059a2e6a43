"""Tests of the rules for sending requests again, and of retry budgets."""

import pytest

from pistachiohaven.components.fleet import RequestKind, Route, Split
from pistachiohaven.components.retry import (
    Failure,
    Resend,
    RetryTerms,
    WindowBudget,
    resend_after,
)
from pistachiohaven.components.retry.const import REQUEST_SHARE, STEADY_EXTRA_SHARE

ONCE = (RequestKind.ONCE, False)
IDEMPOTENT = (RequestKind.IDEMPOTENT, False)
RESUMABLE = (RequestKind.STREAM, True)
PLAIN_STREAM = (RequestKind.STREAM, False)


def route(kind: RequestKind, is_resumable: bool) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        rank=0,
        timeout_ms=1_000,
        first_byte_target_ms=100,
        event_gap_target_ms=100,
        max_targets=2,
        is_public=False,
        is_resumable=is_resumable,
        splits=(Split(pool="p", weight=1),),
    )


@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT, RESUMABLE, PLAIN_STREAM])
@pytest.mark.parametrize("failure", [Failure.NOT_SENT, Failure.NEVER_RAN])
def test_request_that_did_not_run_is_sent_again(
    kind: tuple[RequestKind, bool], failure: Failure
) -> None:
    assert resend_after(route(*kind), failure) is Resend.AGAIN


@pytest.mark.parametrize("kind", [ONCE, PLAIN_STREAM])
@pytest.mark.parametrize("failure", [Failure.FAILED, Failure.NO_ANSWER, Failure.BROKEN])
def test_non_repeatable_request_is_never_sent_again(
    kind: tuple[RequestKind, bool], failure: Failure
) -> None:
    assert resend_after(route(*kind), failure) is Resend.NEVER


@pytest.mark.parametrize("kind", [IDEMPOTENT, RESUMABLE])
@pytest.mark.parametrize("failure", [Failure.FAILED, Failure.NO_ANSWER])
def test_repeatable_request_is_sent_again(
    kind: tuple[RequestKind, bool], failure: Failure
) -> None:
    assert resend_after(route(*kind), failure) is Resend.AGAIN


def test_broken_response_is_resumed_only_for_a_stream() -> None:
    assert resend_after(route(*RESUMABLE), Failure.BROKEN) is Resend.RESUME
    assert resend_after(route(*IDEMPOTENT), Failure.BROKEN) is Resend.NEVER


def test_sum_over_all_entries_stays_within_the_allowance() -> None:
    entries, ratio, extra = 5, 0.2, 50.0
    budgets = [
        WindowBudget(terms=RetryTerms(ratio=ratio, extra=extra, window_ms=1_000))
        for _ in range(entries)
    ]
    further_dispatches = 0
    for now_ms in range(1_000, 1_999):
        for budget in budgets:
            if now_ms < 1_100:
                budget.record_request(now_ms=now_ms)
            further_dispatches += budget.try_send(entries=entries, now_ms=now_ms)
    own_share = REQUEST_SHARE * ratio * 100 * entries + STEADY_EXTRA_SHARE * extra
    assert own_share - entries <= further_dispatches <= own_share


def test_allowance_is_restored_after_its_window() -> None:
    budget = WindowBudget(terms=RetryTerms(ratio=0.0, extra=1.6, window_ms=1_000))
    assert budget.try_send(entries=1, now_ms=5_000)
    assert not budget.try_send(entries=1, now_ms=5_999)
    assert budget.try_send(entries=1, now_ms=6_000)


def test_restart_does_not_allow_a_second_use_of_the_allowance() -> None:
    extra, window_ms = 50.0, 1_000
    terms = RetryTerms(ratio=0.0, extra=extra, window_ms=window_ms)
    further_dispatches = 0
    for start_ms in (0, 1_500):
        budget = WindowBudget(
            terms=terms,
            now_ms=start_ms - window_ms,
        )
        if start_ms:
            budget = WindowBudget(
                terms=terms,
                now_ms=start_ms,
            )
        for now_ms in range(max(start_ms, 1_000), start_ms + 500 + 1_000):
            if 1_000 <= now_ms < 2_000:
                further_dispatches += budget.try_send(entries=1, now_ms=now_ms)
    assert further_dispatches <= extra
