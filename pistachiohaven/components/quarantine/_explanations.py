"""Causes of a target's crash other than the requests that it responded to."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from .const import MAX_EXPLAINED_TARGETS, OVERLOAD_SLOTS_FACTOR, OVERLOAD_SPAN_MS


class Explanation(StrEnum):
    """Why a crash is no evidence against the parts of the prompts."""

    PLANNED = "planned"
    """The target was leaving or was removed."""

    COLD = "cold"
    """The target had started a short time before."""

    OVERLOADED = "overloaded"
    """There were many more requests at the target than it has slots."""

    GROUP = "group"
    """Many targets of its data centre or pool crashed at about the same time."""


class IsCold(Protocol):
    """Source of what is known elsewhere of cold targets."""

    def __call__(self, target: int) -> bool:
        """Return True if the incarnation with hash `target` is cold now."""


def is_never_cold(target: int) -> bool:
    """Return False: no cold target is known from elsewhere."""
    return False


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashContext:
    """State of a target when it crashed, and the load on it shortly before.

    `peak_running` is the highest number of requests on it within `OVERLOAD_SPAN_MS`,
    those of peers included.
    """

    is_planned: bool
    is_cold: bool
    slots: int
    peak_running: int

    def explanation(self) -> Explanation | None:
        """Return the cause of the crash, None if only a request explains it."""
        if self.is_planned:
            return Explanation.PLANNED
        if self.is_cold:
            return Explanation.COLD
        if self.peak_running > self.slots * OVERLOAD_SLOTS_FACTOR:
            return Explanation.OVERLOADED
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetPlace:
    """Data centre and pool of a target."""

    data_centre: str
    pool: str


@dataclass(slots=True, kw_only=True)
class _KnownTarget:
    """What is known of one incarnation; `running` has pairs of time and requests."""

    place: TargetPlace
    listed_ms: int
    listed_age_ms: int
    cold_until_ms: int
    running: deque[tuple[int, int]] = field(default_factory=deque)


class CrashExplanations:
    """What this entry knows of each target that may explain its crash.

    Targets are known by the hashes of their incarnations. Times are monotonic
    milliseconds; `now_ms` is the start of this entry.
    """

    def __init__(self, *, now_ms: int) -> None:
        self._started_ms = now_ms
        self._targets: OrderedDict[int, _KnownTarget] = OrderedDict()

    def record_listed(
        self,
        target: int,
        *,
        place: TargetPlace,
        age_ms: int,
        cold_remaining_ms: int,
        now_ms: int,
    ) -> None:
        """Record that `target` is listed, and stays cold for `cold_remaining_ms`.

        `age_ms` is the time since its start by the wall clocks of both.
        """
        known = self._targets.get(target)
        if known is None:
            known = self._targets[target] = _KnownTarget(
                place=place,
                listed_ms=now_ms,
                listed_age_ms=max(age_ms, 0),
                cold_until_ms=now_ms,
            )
            if len(self._targets) > MAX_EXPLAINED_TARGETS:
                self._targets.popitem(last=False)
        self._targets.move_to_end(target)
        if cold_remaining_ms > 0:
            until_ms = now_ms + cold_remaining_ms + OVERLOAD_SPAN_MS
            known.cold_until_ms = max(known.cold_until_ms, until_ms)

    def record_sent(self, target: int, *, running: int, now_ms: int) -> None:
        """Record a request to `target`, on which there are now `running` requests."""
        known = self._targets.get(target)
        if known is None:
            return
        _drop_before(known.running, now_ms - OVERLOAD_SPAN_MS)
        known.running.append((now_ms, running))

    def place(self, target: int) -> TargetPlace | None:
        """Return the place of `target`, None if it was not listed lately."""
        known = self._targets.get(target)
        return known.place if known is not None else None

    def is_cold(self, target: int, *, cold_start_ms: int, now_ms: int) -> bool:
        """Return True if `target` was cold up to `OVERLOAD_SPAN_MS` ago.

        `cold_start_ms` is how long targets of its pool stay cold, 0 if never.
        """
        known = self._targets.get(target)
        if known is None:
            return False
        if now_ms < known.cold_until_ms:
            return True
        age_ms = now_ms - known.listed_ms
        # Targets that were listed first at this entry's start may be older.
        if known.listed_ms - self._started_ms < cold_start_ms:
            age_ms += known.listed_age_ms
        return cold_start_ms > 0 and age_ms < cold_start_ms + OVERLOAD_SPAN_MS

    def peak_running(self, target: int, *, now_ms: int) -> int:
        """Return the highest number of requests on `target` lately."""
        known = self._targets.get(target)
        if known is None:
            return 0
        _drop_before(known.running, now_ms - OVERLOAD_SPAN_MS)
        return max((running for _, running in known.running), default=0)


def _drop_before(samples: deque[tuple[int, int]], from_ms: int) -> None:
    """Drop the samples from before `from_ms`."""
    while samples and samples[0][0] < from_ms:
        samples.popleft()
