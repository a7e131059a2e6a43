"""Tests of the exclusion of suspect targets and their return."""

from pistachiohaven.components.routing import TargetView
from pistachiohaven.components.sidecar import SidecarCore
from tests.work import make_instance


def make_view() -> TargetView:
    core = SidecarCore(name="a", incarnation="a#1")
    core.lifecycle.serve()
    view = TargetView(instance=make_instance("a"))
    view.apply_report(core.report(now_ms=0), measured_ms=0)
    return view


def test_simultaneous_failures_count_as_one() -> None:
    """All requests to a lost target fail together; the probe must not be delayed."""
    view = make_view()
    for _number in range(20):
        view.mark_suspect(now_ms=10)
    assert not view.is_usable(rank=0, now_ms=11)
    assert view.needs_probe(now_ms=600)


def test_suspect_target_is_excluded_until_it_reports() -> None:
    view = make_view()
    view.mark_suspect(now_ms=10)
    assert not view.is_usable(rank=0, now_ms=60_000)
    assert view.report is not None
    view.apply_report(view.report, measured_ms=60_001)
    assert view.is_usable(rank=0, now_ms=60_002)


def test_delay_before_a_probe_grows_with_each_failure() -> None:
    view = make_view()
    view.mark_suspect(now_ms=0)
    first_ms = view.next_probe_ms
    view.mark_suspect(now_ms=first_ms)
    assert view.next_probe_ms - first_ms > first_ms
