"""Record, beside one target, what became of every request offered to it."""

from dataclasses import dataclass
from enum import StrEnum

from pistachiohaven.const import KEY_RETENTION_MS, REQUEST_RETENTION_MS
from pistachiohaven.core import Reason
from pistachiohaven.exceptions import InvariantError
from pistachiohaven.helpers import TtlMap


class Stage(StrEnum):
    """Say how far a request has come at this sidecar."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    CUT = "cut"
    REFUSED = "refused"


@dataclass(slots=True, kw_only=True)
class Entry:
    """Hold what is recorded of one dispatch id.

    `attempt` is the highest attempt seen; when `stage` is refused, every attempt up
    to it is refused for good.
    """

    request_id: str
    attempt: int
    stage: Stage
    keyed: bool
    reason: Reason | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Fresh:
    """Allow a new request to be admitted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Known:
    """Point to the request that already holds this dispatch id."""

    request_id: str
    stage: Stage


@dataclass(frozen=True, slots=True, kw_only=True)
class Gone:
    """Refuse an attempt for good."""

    reason: Reason


Verdict = Fresh | Known | Gone


class DispatchRecord:
    """Remember dispatch ids so that each is dispatched at most once here.

    A dispatch id is the request id, or the organisation and the idempotency key of a
    keyed request. Finished records are forgotten after their retention, live ones
    never.
    """

    def __init__(self) -> None:
        self._live: dict[str, Entry] = {}
        self._keyed: TtlMap[Entry] = TtlMap(retention_ms=KEY_RETENTION_MS)
        self._plain: TtlMap[Entry] = TtlMap(retention_ms=REQUEST_RETENTION_MS)

    def __len__(self) -> int:
        return len(self._live) + len(self._keyed) + len(self._plain)

    def find(self, dispatch_id: str) -> Entry | None:
        """Return what is recorded of `dispatch_id`."""
        return (
            self._live.get(dispatch_id)
            or self._keyed.get(dispatch_id)
            or self._plain.get(dispatch_id)
        )

    def ids_of(self, request_id: str) -> list[str]:
        """Return the dispatch ids that `request_id` holds; slow, for diagnosis."""
        stores = (self._live, self._keyed, self._plain)
        return [
            dispatch_id
            for store in stores
            for dispatch_id, entry in store.items()
            if entry.request_id == request_id
        ]

    def judge(self, *, dispatch_id: str, attempt: int) -> Verdict:
        """Say whether this attempt may be admitted."""
        entry = self.find(dispatch_id)
        if entry is None:
            return Fresh()
        if entry.stage is not Stage.REFUSED:
            return Known(request_id=entry.request_id, stage=entry.stage)
        if attempt <= entry.attempt:
            return Gone(reason=Reason.TOMBSTONE)
        return Fresh()

    def admit(
        self, *, dispatch_id: str, request_id: str, attempt: int, keyed: bool
    ) -> None:
        """Register an attempt that `judge` found fresh, undispatched yet."""
        if isinstance(self.judge(dispatch_id=dispatch_id, attempt=attempt), Fresh):
            self._live[dispatch_id] = Entry(
                request_id=request_id,
                attempt=attempt,
                stage=Stage.QUEUED,
                keyed=keyed,
            )
            return
        raise InvariantError(f"{dispatch_id} admitted twice")

    def dispatch(self, dispatch_id: str) -> None:
        """Pass the dispatch point; it can be passed once."""
        entry = self._live.get(dispatch_id)
        if entry is None or entry.stage is not Stage.QUEUED:
            raise InvariantError(f"{dispatch_id} dispatched twice")
        entry.stage = Stage.DISPATCHED

    def refuse(
        self,
        *,
        dispatch_id: str,
        request_id: str,
        attempt: int,
        keyed: bool,
        reason: Reason,
        now_ms: int,
    ) -> None:
        """Refuse this and every earlier attempt for good."""
        entry = self.find(dispatch_id)
        if entry is not None and entry.stage is Stage.DISPATCHED:
            raise InvariantError(f"{dispatch_id} refused after dispatch")
        if entry is not None and entry.stage not in (Stage.QUEUED, Stage.REFUSED):
            raise InvariantError(f"{dispatch_id} refused after its end")
        highest = attempt if entry is None else max(attempt, entry.attempt)
        closed = Entry(
            request_id=request_id,
            attempt=highest,
            stage=Stage.REFUSED,
            keyed=keyed,
            reason=reason,
        )
        self._close(dispatch_id, closed, now_ms=now_ms)

    def never_sent(self, dispatch_id: str, *, reason: Reason, now_ms: int) -> None:
        """Turn a dispatch into a refusal: the target was sent no byte of it."""
        entry = self._live.get(dispatch_id)
        if entry is None or entry.stage is not Stage.DISPATCHED:
            raise InvariantError(f"{dispatch_id} was not being dispatched")
        entry.stage = Stage.REFUSED
        entry.reason = reason
        self._close(dispatch_id, entry, now_ms=now_ms)

    def end(
        self, dispatch_id: str, *, stage: Stage, reason: Reason | None, now_ms: int
    ) -> None:
        """Record how a dispatched request ended."""
        entry = self._live.get(dispatch_id)
        if entry is None or entry.stage is not Stage.DISPATCHED:
            raise InvariantError(f"{dispatch_id} ended but was not running")
        entry.stage = stage
        entry.reason = reason
        self._close(dispatch_id, entry, now_ms=now_ms)

    def _close(self, dispatch_id: str, entry: Entry, *, now_ms: int) -> None:
        self._live.pop(dispatch_id, None)
        store = self._keyed if entry.keyed else self._plain
        store.put(dispatch_id, entry, now_ms=now_ms)
