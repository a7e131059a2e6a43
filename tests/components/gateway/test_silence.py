"""Test when a silent target is given up, on a virtual clock."""

from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from pistachiohaven.components.fleet import Target
from pistachiohaven.components.gateway._silence import StallDetector
from pistachiohaven.components.placement import TargetLoad
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, PartLogger

ALLOWED_MS = 1_000.0


def in_trio(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Turn an async function into a test."""

    def run() -> None:
        trio.run(test)

    return run


class Scene:
    """Hold one silence and what it asks for."""

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
        self.load = TargetLoad(target=target, engine=True, cache_tokens=0)
        self.detector = StallDetector(
            request_id="r",
            load=self.load,
            may_move=lambda: self.may_move,
            clock=Clock(monotonic_s=lambda: self.time_ms / MS_PER_S),
            log=PartLogger(part="test"),
        )

    def check(self, *, at_ms: int, paused_ms: int = 0) -> bool:
        """Return True if the target has been given up."""
        self.time_ms = at_ms
        self.detector.check(paused_ms=paused_ms)
        return self.detector.cancel_scope.cancel_called


@in_trio
async def test_a_silent_target_is_given_up_once_the_request_can_move() -> None:
    scene = Scene(may_move=False)
    scene.detector.arm(timeout_ms=ALLOWED_MS)
    assert not scene.check(at_ms=1_000)
    assert not scene.load.usable(now_ms=1_000)
    scene.may_move = True
    assert scene.check(at_ms=1_100)


@in_trio
async def test_time_in_which_the_process_stood_still_is_not_silence() -> None:
    scene = Scene(may_move=True)
    scene.detector.arm(timeout_ms=ALLOWED_MS)
    assert not scene.check(at_ms=5_000, paused_ms=4_500)
    assert scene.check(at_ms=5_500)


@in_trio
async def test_a_target_that_is_heard_again_may_be_used() -> None:
    scene = Scene(may_move=False)
    scene.detector.arm(timeout_ms=ALLOWED_MS)
    scene.check(at_ms=1_000)
    scene.detector.disarm()
    assert scene.load.usable(now_ms=1_000)
    scene.may_move = True
    assert not scene.check(at_ms=9_000)


@in_trio
async def test_what_comes_after_the_target_was_given_up_is_not_passed_on() -> None:
    """A chunk and the decision can meet in one turn of the loop."""
    scene = Scene(may_move=True)
    passed: list[bytes] = []

    async def chunks() -> AsyncIterator[bytes]:
        scene.check(at_ms=1_000)
        yield b"late"

    with scene.detector.cancel_scope:
        chunk = await scene.detector.next_chunk(chunks(), timeout_ms=ALLOWED_MS)
        passed.append(chunk or b"")
    assert scene.detector.cancel_scope.cancelled_caught
    assert passed == []
