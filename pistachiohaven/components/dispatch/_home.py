"""Grant each idempotency key to one sidecar at a time."""

from dataclasses import dataclass, field
from enum import StrEnum

from result import Err, Ok, Result

from pistachiohaven.const import CLOCK_SKEW_MS, KEY_RETENTION_MS
from pistachiohaven.core import Reason
from pistachiohaven.helpers import TtlMap

from ._keys import Key, PlainKey, parse_key
from .const import FIRST_ATTEMPT, KEY_FUTURE_MS, NOBODY, SETTLED_MS


class Release(StrEnum):
    """Say why an entry gives a grant back."""

    REFUSED = "refused"
    """The granted sidecar refused this attempt for good."""

    NOT_SENT = "not_sent"
    """The entry sent no byte of an offer under this grant."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Name the only sidecar and incarnation that may dispatch a key."""

    sidecar: str
    incarnation: str
    attempt: int


@dataclass(slots=True, kw_only=True)
class _Claimed:
    """Hold the grant in force for one key and the requests that were told it.

    Until `settled_until_ms`, monotonic, a grant to `NOBODY` does not move.
    """

    grant: Grant
    fingerprint: str
    settled_until_ms: int = 0
    holders: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Ask the home of a key where its request may run.

    `key` is the text of the key. `sidecar` and `incarnation` name the candidate the
    entry would choose, `NOBODY` if it has none and wants it settled that the key has
    not run. With `release` the entry gives back the grant of `released_attempt`.
    """

    organisation: str
    key: str
    request_id: str
    fingerprint: str
    sidecar: str
    incarnation: str
    released_attempt: int = 0
    release: Release | None = None


class KeyHome:
    """Be the home of idempotency keys for one incarnation of one sidecar.

    A grant moves on only when the granted sidecar refused it for good, or when the
    only request ever told of it sent nothing. So at most one sidecar can dispatch.
    """

    def __init__(self, *, name: str, incarnation: str, started_wall_ms: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._oldest_stamp_ms = started_wall_ms + KEY_FUTURE_MS + CLOCK_SKEW_MS
        self._claimed: TtlMap[_Claimed] = TtlMap(
            retention_ms=KEY_RETENTION_MS + 2 * KEY_FUTURE_MS
        )

    def __len__(self) -> int:
        return len(self._claimed)

    def claim(
        self, claim: Claim, *, now_ms: int, wall_ms: int
    ) -> Result[Grant, Reason]:
        """Return the grant in force for a key, giving or moving it if that is safe."""
        slot = f"{claim.organisation}/{claim.key}"
        claimed = self._claimed.get(slot)
        if claimed is None:
            return self._first(slot, claim, now_ms=now_ms, wall_ms=wall_ms)
        if claimed.fingerprint != claim.fingerprint:
            return Err(Reason.KEY_REUSED)
        if self._may_move(claimed, claim, now_ms=now_ms):
            claimed.grant = Grant(
                sidecar=claim.sidecar,
                incarnation=claim.incarnation,
                attempt=claimed.grant.attempt + 1,
            )
            claimed.holders = set()
        claimed.holders.add(claim.request_id)
        return Ok(_told(claimed, now_ms=now_ms))

    def _first(
        self, slot: str, claim: Claim, *, now_ms: int, wall_ms: int
    ) -> Result[Grant, Reason]:
        """Give the first grant of a key that proves itself new."""
        key = parse_key(claim.key)
        if isinstance(key, Err):
            return key
        reason = self._doubt(key.ok_value, wall_ms=wall_ms)
        if reason is not None:
            return Err(reason)
        grant = Grant(
            sidecar=claim.sidecar,
            incarnation=claim.incarnation,
            attempt=FIRST_ATTEMPT,
        )
        claimed = _Claimed(
            grant=grant,
            fingerprint=claim.fingerprint,
            holders={claim.request_id},
        )
        self._claimed.put(slot, claimed, now_ms=now_ms)
        return Ok(_told(claimed, now_ms=now_ms))

    def _doubt(self, key: Key, *, wall_ms: int) -> Reason | None:
        """Return why a key without a record here may have run before, if it may."""
        if key.stamp_ms > wall_ms + KEY_FUTURE_MS:
            return Reason.KEY_FROM_FUTURE
        if key.stamp_ms <= wall_ms - KEY_RETENTION_MS:
            return Reason.KEY_EXPIRED
        if isinstance(key, PlainKey):
            early = key.stamp_ms <= self._oldest_stamp_ms
            return Reason.KEY_BEFORE_START if early else None
        named = (key.home, key.incarnation) == (self._name, self._incarnation)
        return None if named else Reason.WRONG_INCARNATION

    @staticmethod
    def _may_move(claimed: _Claimed, claim: Claim, *, now_ms: int) -> bool:
        """Return True if the grant in force is proved dead."""
        if claimed.grant.sidecar == NOBODY:
            return now_ms >= claimed.settled_until_ms
        if claim.released_attempt != claimed.grant.attempt:
            return False
        if claim.release is Release.REFUSED:
            return True
        only_holder = claimed.holders == {claim.request_id}
        return claim.release is Release.NOT_SENT and only_holder


def _told(claimed: _Claimed, *, now_ms: int) -> Grant:
    """Return the grant in force, and hold it for a while if nobody has it."""
    if claimed.grant.sidecar == NOBODY:
        claimed.settled_until_ms = now_ms + SETTLED_MS
    return claimed.grant
