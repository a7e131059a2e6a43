"""Detection of targets that stall while they serve a request."""

from collections.abc import AsyncIterator, Callable

import trio

from pistachiohaven.components.placement import TargetLoad
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, ComponentLogger

from .const import STALL_CHECK_INTERVAL_MS


class StallDetector:
    """Stall detector of one dispatch.

    The target stalls if it sends neither the head nor an event within the timeout.
    `may_move` is called on each check during a stall; once it returns True,
    `cancel_scope` is cancelled. A request that can't move to another target stays with
    the stalled one.
    """

    def __init__(
        self,
        *,
        request_id: str,
        load: TargetLoad,
        may_move: Callable[[], bool],
        clock: Clock,
        log: ComponentLogger,
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
        """Start waiting; the target stalls after `timeout_ms`."""
        self._waiting_since_ms = self._clock.now_ms()
        self._timeout_ms = timeout_ms

    def disarm(self) -> None:
        """Stop waiting since the head or an event came, and end a reported stall."""
        if self._has_reported_stall:
            self._has_reported_stall = False
            self._load.clear_stall(now_ms=self._clock.now_ms())
            self._log.info(
                "target_heard",
                request_id=self._request_id,
                target=self._load.target.name,
            )
        self._waiting_since_ms = None

    async def next_chunk(
        self, chunks: AsyncIterator[bytes], *, timeout_ms: float
    ) -> bytes | None:
        """Return the next chunk, None at the end of the body.

        Unless `disarm` is called after a chunk, the wait goes on with the next one: a
        chunk need not bring an event.
        """
        if self._waiting_since_ms is None:
            self.arm(timeout_ms=timeout_ms)
        chunk = await anext(chunks, None)
        # Discard a chunk that arrived after cancellation: the next target resends it.
        await trio.lowlevel.checkpoint_if_cancelled()
        if chunk is None:
            self.disarm()
        return chunk

    def check(self, *, paused_ms: int) -> None:
        """Report a stall once and cancel the exchange if the request may move.

        `paused_ms` is the time since the last check in which this process did not run;
        it does not count towards the timeout.
        """
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
        """Log the stall and exclude the target from placements for some time."""
        self._has_reported_stall = True
        self._load.record_stall(now_ms=now_ms)
        self._log.info(
            "target_silent",
            request_id=self._request_id,
            target=self._load.target.name,
            silent_ms=silent_ms,
            allowed_ms=round(self._timeout_ms),
        )


class StallMonitor:
    """Periodic check of the stall detectors of all repeatable dispatches."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._detectors: set[StallDetector] = set()

    def add(self, detector: StallDetector) -> None:
        """Start checking `detector`."""
        self._detectors.add(detector)

    def remove(self, detector: StallDetector) -> None:
        """Stop checking `detector`."""
        self._detectors.discard(detector)

    async def run(self) -> None:
        """Check all detectors every `STALL_CHECK_INTERVAL_MS`.

        A wakeup that is late by more than one interval means that this process was
        paused; targets are not blamed for that time.
        """
        while True:
            started_ms = self._clock.now_ms()
            await trio.sleep(STALL_CHECK_INTERVAL_MS / MS_PER_S)
            late_ms = self._clock.now_ms() - started_ms - STALL_CHECK_INTERVAL_MS
            paused_ms = late_ms if late_ms > STALL_CHECK_INTERVAL_MS else 0
            for detector in list(self._detectors):
                detector.check(paused_ms=paused_ms)
