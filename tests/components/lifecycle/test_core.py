"""Tests of the transitions of the lifecycle."""

from pistachiohaven.components.lifecycle import Lifecycle
from pistachiohaven.core import Phase, Reason


def test_second_drain_does_not_extend_the_budget() -> None:
    lifecycle = Lifecycle(drain_budget_ms=100)
    assert lifecycle.refusal() is Reason.STARTING
    lifecycle.serve()
    assert lifecycle.refusal() is None
    assert lifecycle.drain(now_ms=0)
    assert not lifecycle.drain(now_ms=90)
    assert lifecycle.refusal() is Reason.DRAINING
    assert not lifecycle.stop_if_drained(in_flight_count=1, now_ms=99)
    assert lifecycle.stop_if_drained(in_flight_count=1, now_ms=100)


def test_draining_process_never_serves_again() -> None:
    lifecycle = Lifecycle()
    lifecycle.drain(now_ms=0)
    lifecycle.serve()
    assert lifecycle.phase is Phase.DRAINING
