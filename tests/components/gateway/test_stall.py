"""Test the detection of stalled targets with a virtual clock."""

from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from pistachiohaven.components.fleet import Target
from pistachiohaven.components.gateway._stall import StallDetector
from pistachiohaven.components.notice import TargetNotices
from pistachiohaven.components.placement import TargetLoad
from pistachiohaven.components.rate_limit import RateLimits
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, ComponentLogger, Ewma

ALLOWED_MS = 1_000.0


def run_in_trio(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Return a test that runs an async function under trio."""

    def run() -> None:
        trio.run(test)

    return run


class DetectorHarness:
    """Stall detector of one dispatch with a settable clock."""

    def __init__(self, *, may_move: bool) -> None:
        self.time_ms = 0
        self.may_move = may_move
        target = Target(
            name="i-0",
            pool="p",
            address="10.0.0.1:80",
            data_centre="z",
            slots=2,
            leaving=False,
            started_ms=1,
        )
        self.load = TargetLoad(
            target=target,
            is_engine=True,
            cache_tokens=0,
            pool_token_ms=Ewma(weight=1.0),
            rate_limits=RateLimits(),
            notices=TargetNotices(),
        )
        self.detector = StallDetector(
            request_id="r",
            load=self.load,
            may_move=lambda: self.may_move,
            clock=Clock(monotonic_s=lambda: self.time_ms / MS_PER_S),
            log=ComponentLogger(component="test"),
        )

    def check(self, *, at_ms: int, paused_ms: int = 0) -> bool:
        """Run one check; return True if the exchange has been cancelled."""
        self.time_ms = at_ms
        self.detector.check(paused_ms=paused_ms)
        return self.detector.cancel_scope.cancel_called


@run_in_trio
async def test_exchange_is_cancelled_once_the_request_can_move() -> None:
    """A stall excludes the target, but the request stays until it can move."""
    harness = DetectorHarness(may_move=False)
    harness.detector.arm(timeout_ms=ALLOWED_MS)
    assert not harness.check(at_ms=1_000)
    assert not harness.load.is_usable(now_ms=1_000)
    harness.may_move = True
    assert harness.check(at_ms=1_100)


@run_in_trio
async def test_pause_of_the_process_does_not_count_as_a_stall() -> None:
    """If this process is paused, it reads late; the target must not be blamed."""
    harness = DetectorHarness(may_move=True)
    harness.detector.arm(timeout_ms=ALLOWED_MS)
    assert not harness.check(at_ms=5_000, paused_ms=4_500)
    assert harness.check(at_ms=5_500)


@run_in_trio
async def test_target_is_usable_again_after_it_sends_data() -> None:
    """Data that arrives ends the stall, and later checks must not cancel."""
    harness = DetectorHarness(may_move=False)
    harness.detector.arm(timeout_ms=ALLOWED_MS)
    harness.check(at_ms=1_000)
    harness.detector.disarm()
    assert harness.load.is_usable(now_ms=1_000)
    harness.may_move = True
    assert not harness.check(at_ms=9_000)


@run_in_trio
async def test_chunk_that_arrives_after_cancellation_is_discarded() -> None:
    """A chunk and the cancellation can occur in the same pass of the event loop.

    Forwarding the chunk would duplicate it, since the next target sends it again.
    """
    harness = DetectorHarness(may_move=True)
    forwarded: list[bytes] = []

    async def chunks() -> AsyncIterator[bytes]:
        harness.check(at_ms=1_000)
        yield b"late"

    with harness.detector.cancel_scope:
        chunk = await harness.detector.next_chunk(chunks(), timeout_ms=ALLOWED_MS)
        forwarded.append(chunk or b"")
    assert harness.detector.cancel_scope.cancelled_caught
    assert forwarded == []
