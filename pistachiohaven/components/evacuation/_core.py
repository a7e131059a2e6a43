"""Data centres that are evacuated, as far as this entry knows."""

from dataclasses import dataclass, replace
from enum import StrEnum

from .const import RESTORE_HOLD_MS


class EvacuationEvent(StrEnum):
    """Kind of a change.

    An evacuation is `HELD` if the store was restored from a copy that lacks it: nobody
    has taken it back.
    """

    BEGUN = "begun"
    HELD = "held"
    ENDED = "ended"


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """Evacuation of one data centre, learnt at the monotonic time `learned_ms`.

    `revision` is that of the operator's write and `source` "store" or the name of the
    peer that passed it on. `held_until_ms` is None unless the store lost the write.
    """

    data_centre: str
    revision: int
    source: str
    learned_ms: int
    held_until_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationChange:
    """Change of one evacuation, for the logs; `age_ms` is the time since it was learnt.

    `revision` and `source` are those of the change.
    """

    event: EvacuationEvent
    data_centre: str
    revision: int
    source: str
    age_ms: int


class Evacuations:
    """Evacuations in force; times are monotonic milliseconds.

    Only a deletion by the operator ends one at once. Neither an outage of the store
    nor the loss of its history does.
    """

    def __init__(self) -> None:
        self._evacuations: dict[str, Evacuation] = {}

    def is_evacuated(self, data_centre: str) -> bool:
        """Return True if no target of the data centre may get a request."""
        return data_centre in self._evacuations

    def has_any(self) -> bool:
        """Return True if a data centre is evacuated."""
        return bool(self._evacuations)

    def all(self) -> list[Evacuation]:
        """Return the evacuations in force."""
        return list(self._evacuations.values())

    def begin(
        self, data_centre: str, *, revision: int, source: str, now_ms: int
    ) -> EvacuationChange | None:
        """Record that the operator evacuates; return a change unless it is known."""
        known = self._evacuations.get(data_centre)
        self._evacuations[data_centre] = Evacuation(
            data_centre=data_centre,
            revision=revision,
            source=source,
            learned_ms=known.learned_ms if known else now_ms,
        )
        if known is not None:
            return None
        return EvacuationChange(
            event=EvacuationEvent.BEGUN,
            data_centre=data_centre,
            revision=revision,
            source=source,
            age_ms=0,
        )

    def end(
        self,
        data_centre: str,
        *,
        revision: int,
        source: str,
        is_restored: bool,
        now_ms: int,
    ) -> EvacuationChange | None:
        """Record that the store no longer lists the evacuation, known or not.

        If `is_restored`, it lacks it since it was restored from an older copy; the
        evacuation is then held for `RESTORE_HOLD_MS`.
        """
        known = self._evacuations.get(data_centre)
        if known is None:
            return None
        if is_restored:
            self._evacuations[data_centre] = replace(
                known, held_until_ms=now_ms + RESTORE_HOLD_MS
            )
        else:
            del self._evacuations[data_centre]
        return EvacuationChange(
            event=EvacuationEvent.HELD if is_restored else EvacuationEvent.ENDED,
            data_centre=data_centre,
            revision=revision,
            source=source,
            age_ms=now_ms - known.learned_ms,
        )

    def expire(self, *, now_ms: int) -> list[EvacuationChange]:
        """End the evacuations that were held for long enough; return the changes."""
        expired = [
            evacuation
            for evacuation in self._evacuations.values()
            if evacuation.held_until_ms is not None
            and now_ms >= evacuation.held_until_ms
        ]
        for evacuation in expired:
            del self._evacuations[evacuation.data_centre]
        return [
            EvacuationChange(
                event=EvacuationEvent.ENDED,
                data_centre=evacuation.data_centre,
                revision=evacuation.revision,
                source="expired",
                age_ms=now_ms - evacuation.learned_ms,
            )
            for evacuation in expired
        ]
