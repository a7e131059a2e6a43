"""Record of the requests that were offered to one target and of their results."""

from dataclasses import dataclass
from enum import StrEnum

from pistachiohaven.const import KEY_RETENTION_MS, REQUEST_RETENTION_MS
from pistachiohaven.core import Reason
from pistachiohaven.exceptions import InvariantError
from pistachiohaven.helpers import TtlMap


class Stage(StrEnum):
    """Progress of a request at one sidecar; CUT means an incomplete response."""

    QUEUED = "queued"
    """The request was admitted, but not dispatched."""

    DISPATCHED = "dispatched"
    """The request was dispatched, and its response has not ended."""

    FINISHED = "finished"
    """The response ended complete."""

    CUT = "cut"
    REFUSED = "refused"
    """The request was not sent to the target; this attempt never will be."""


@dataclass(slots=True, kw_only=True)
class RecordEntry:
    """Recorded state of one dispatch id.

    `attempt` is the highest attempt seen. If `stage` is refused, every attempt up to
    that number is refused permanently.
    """

    request_id: str
    attempt: int
    stage: Stage
    keyed: bool
    reason: Reason | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Admissible:
    """Check result: this attempt may be admitted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Duplicate:
    """Check result: the dispatch id is already recorded for request `request_id`."""

    request_id: str
    stage: Stage


@dataclass(frozen=True, slots=True, kw_only=True)
class Tombstoned:
    """Check result: this attempt is refused permanently."""

    reason: Reason


CheckResult = Admissible | Duplicate | Tombstoned


class DispatchRecord:
    """Record of dispatch ids, so that each is dispatched at most once at a target.

    A dispatch id is the request id, or the organisation and the idempotency key of a
    keyed request. Record entries of queued and dispatched requests are kept. Those of
    ended and refused requests expire after `KEY_RETENTION_MS` with an idempotency key
    and after `REQUEST_RETENTION_MS` without one.
    """

    def __init__(self) -> None:
        self._active: dict[str, RecordEntry] = {}
        self._keyed: TtlMap[RecordEntry] = TtlMap(retention_ms=KEY_RETENTION_MS)
        self._unkeyed: TtlMap[RecordEntry] = TtlMap(retention_ms=REQUEST_RETENTION_MS)

    def __len__(self) -> int:
        return len(self._active) + len(self._keyed) + len(self._unkeyed)

    def find(self, dispatch_id: str) -> RecordEntry | None:
        """Return the record entry of `dispatch_id`, or None."""
        return (
            self._active.get(dispatch_id)
            or self._keyed.get(dispatch_id)
            or self._unkeyed.get(dispatch_id)
        )

    def dispatch_ids_of(self, request_id: str) -> list[str]:
        """Return the dispatch ids recorded for `request_id`.

        It searches all record entries, so it is for diagnosis only.
        """
        stores = (self._active, self._keyed, self._unkeyed)
        return [
            dispatch_id
            for store in stores
            for dispatch_id, record_entry in store.items()
            if record_entry.request_id == request_id
        ]

    def check(self, *, dispatch_id: str, attempt: int) -> CheckResult:
        """Return whether this attempt may be admitted."""
        record_entry = self.find(dispatch_id)
        if record_entry is None:
            return Admissible()
        if record_entry.stage is not Stage.REFUSED:
            return Duplicate(
                request_id=record_entry.request_id, stage=record_entry.stage
            )
        if attempt <= record_entry.attempt:
            return Tombstoned(reason=Reason.TOMBSTONE)
        return Admissible()

    def admit(
        self, *, dispatch_id: str, request_id: str, attempt: int, keyed: bool
    ) -> None:
        """Record an admissible attempt as queued.

        Raise InvariantError if the attempt is a duplicate or refused.
        """
        if isinstance(self.check(dispatch_id=dispatch_id, attempt=attempt), Admissible):
            self._active[dispatch_id] = RecordEntry(
                request_id=request_id,
                attempt=attempt,
                stage=Stage.QUEUED,
                keyed=keyed,
            )
            return
        raise InvariantError(
            f"dispatch id {dispatch_id} cannot be admitted: already recorded or refused"
        )

    def mark_dispatched(self, dispatch_id: str) -> None:
        """Record the dispatch of a queued request.

        Raise InvariantError if the request is not queued.
        """
        record_entry = self._active.get(dispatch_id)
        if record_entry is None or record_entry.stage is not Stage.QUEUED:
            raise InvariantError(f"dispatch id {dispatch_id} is not queued")
        record_entry.stage = Stage.DISPATCHED

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
        """Refuse this and every earlier attempt permanently.

        Raise InvariantError if the request was dispatched.
        """
        record_entry = self.find(dispatch_id)
        if record_entry is not None and record_entry.stage is Stage.DISPATCHED:
            raise InvariantError(
                f"dispatch id {dispatch_id} cannot be refused: already dispatched"
            )
        if record_entry is not None and record_entry.stage not in (
            Stage.QUEUED,
            Stage.REFUSED,
        ):
            raise InvariantError(
                f"dispatch id {dispatch_id} cannot be refused: already ended"
            )
        highest_attempt = (
            attempt if record_entry is None else max(attempt, record_entry.attempt)
        )
        refused_entry = RecordEntry(
            request_id=request_id,
            attempt=highest_attempt,
            stage=Stage.REFUSED,
            keyed=keyed,
            reason=reason,
        )
        self._retire(dispatch_id, refused_entry, now_ms=now_ms)

    def refuse_unsent(self, dispatch_id: str, *, reason: Reason, now_ms: int) -> None:
        """Change a dispatch into a refusal because no byte was sent to the target.

        Raise InvariantError if the request is not dispatched.
        """
        record_entry = self._active.get(dispatch_id)
        if record_entry is None or record_entry.stage is not Stage.DISPATCHED:
            raise InvariantError(f"dispatch id {dispatch_id} is not dispatched")
        record_entry.stage = Stage.REFUSED
        record_entry.reason = reason
        self._retire(dispatch_id, record_entry, now_ms=now_ms)

    def end(
        self, dispatch_id: str, *, stage: Stage, reason: Reason | None, now_ms: int
    ) -> None:
        """Record the end of a dispatched request.

        Raise InvariantError if the request is not dispatched.
        """
        record_entry = self._active.get(dispatch_id)
        if record_entry is None or record_entry.stage is not Stage.DISPATCHED:
            raise InvariantError(f"dispatch id {dispatch_id} ended but was not running")
        record_entry.stage = stage
        record_entry.reason = reason
        self._retire(dispatch_id, record_entry, now_ms=now_ms)

    def _retire(
        self, dispatch_id: str, record_entry: RecordEntry, *, now_ms: int
    ) -> None:
        self._active.pop(dispatch_id, None)
        store = self._keyed if record_entry.keyed else self._unkeyed
        store.put(dispatch_id, record_entry, now_ms=now_ms)
