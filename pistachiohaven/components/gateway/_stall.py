"""Give up a target that has fallen silent, if its request can go on elsewhere."""

from collections.abc import AsyncIterator, Callable

import trio

from pistachiohaven.components.placement import TargetLoad
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, PartLogger

from .const import STALL_CHECK_INTERVAL_MS


class StallDetector:
    """Follow how long the target of one dispatch has sent nothing.

    `may_move` is asked while the silence lasts; once it returns True, `scope` is
    cancelled. A request that has nowhere to go is left with its target.
    """

    def __init__(
        self,
        *,
        request_id: str,
        load: TargetLoad,
        may_move: Callable[[], bool],
        clock: Clock,
        log: PartLogger,
    ) -> None:
        self.cancel_scope = trio.CancelScope()
        self._request_id = request_id
        self._load = load
        self._may_move = may_move
        self._clock = clock
        self._log = log
        self._waiting_since_ms: int | None = None
        self._timeout_ms = 0.0
        self._has_reported_stall = False

    def arm(self, *, timeout_ms: float) -> None:
        """Expect the target to send something within `within_ms`."""
        self._waiting_since_ms = self._clock.now_ms()
        self._timeout_ms = timeout_ms

    def disarm(self) -> None:
        """Note that the target sent something; nothing is expected for now."""
        if self._has_reported_stall:
            self._has_reported_stall = False
            self._load.heard(now_ms=self._clock.now_ms())
            self._log.info(
                "target_heard",
                request_id=self._request_id,
                target=self._load.target.name,
            )
        self._waiting_since_ms = None

    async def next_chunk(
        self, chunks: AsyncIterator[bytes], *, timeout_ms: float
    ) -> bytes | None:
        """Return what the target sends next, None at the end."""
        self.arm(timeout_ms=timeout_ms)
        chunk = await anext(chunks, None)
        # A chunk that came after the target was given up is sent again by the next one.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.disarm()
        return chunk

    def check(self, *, paused_ms: int) -> None:
        """Look at the silence; this process stood still for `paused_ms` of it."""
        if self._waiting_since_ms is None:
            return
        self._waiting_since_ms += paused_ms
        now_ms = self._clock.now_ms()
        if now_ms - self._waiting_since_ms < self._timeout_ms:
            return
        if not self._has_reported_stall:
            self._report_stall(now_ms=now_ms, silent_ms=now_ms - self._waiting_since_ms)
        if self._may_move():
            self._waiting_since_ms = None
            self.cancel_scope.cancel()

    def _report_stall(self, *, now_ms: int, silent_ms: int) -> None:
        self._has_reported_stall = True
        self._load.silent(now_ms=now_ms)
        self._log.info(
            "target_silent",
            request_id=self._request_id,
            target=self._load.target.name,
            silent_ms=silent_ms,
            allowed_ms=round(self._timeout_ms),
        )


class StallMonitor:
    """Check all dispatches that wait for a target."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._detectors: set[StallDetector] = set()

    def add(self, detector: StallDetector) -> None:
        """Check `silence` from now on."""
        self._detectors.add(detector)

    def remove(self, detector: StallDetector) -> None:
        """Check `silence` no more."""
        self._detectors.discard(detector)

    async def run(self) -> None:
        """Check at fixed times; time in which this process stood still is left out."""
        while True:
            started_ms = self._clock.now_ms()
            await trio.sleep(STALL_CHECK_INTERVAL_MS / MS_PER_S)
            late_ms = self._clock.now_ms() - started_ms - STALL_CHECK_INTERVAL_MS
            paused_ms = late_ms if late_ms > STALL_CHECK_INTERVAL_MS else 0
            for detector in list(self._detectors):
                detector.check(paused_ms=paused_ms)
