"""Key owner: grants each idempotency key to one sidecar at a time."""

from dataclasses import dataclass, field
from enum import StrEnum

from result import Err, Ok, Result

from pistachiohaven.const import CLOCK_SKEW_MS, KEY_RETENTION_MS
from pistachiohaven.core import Reason
from pistachiohaven.helpers import TtlMap

from ._keys import Key, PlainKey, parse_key
from .const import FIRST_ATTEMPT, KEY_MAX_FUTURE_MS, KEY_SETTLED_MS, NO_SIDECAR


class Release(StrEnum):
    """Reason why an entry releases a grant."""

    REFUSED = "refused"
    """The granted sidecar refused this attempt permanently."""

    NOT_SENT = "not_sent"
    """The entry has sent no byte of an offer under this grant."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Permission to dispatch a key, for one sidecar and incarnation only.

    `attempt` counts the grants of the key, starting at `FIRST_ATTEMPT`.
    """

    sidecar: str
    incarnation: str
    attempt: int


@dataclass(slots=True, kw_only=True)
class _KeyState:
    """Active grant of one key and the ids of the requests that have received it.

    A grant to no sidecar is not moved before `settled_until_ms`, which is monotonic.
    """

    grant: Grant
    fingerprint: str
    settled_until_ms: int = 0
    grantee_ids: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Request of an entry to the key owner for permission to dispatch a key.

    `key` is the text of the key, `fingerprint` a hash of the request's body and path.
    `sidecar` and `incarnation` name the candidate that the entry has chosen. Without a
    candidate `sidecar` is `NO_SIDECAR`, and a grant to `NO_SIDECAR` confirms that the
    key has not been dispatched. With `release` the entry returns the grant of
    `released_attempt`.
    """

    organisation: str
    key: str
    request_id: str
    fingerprint: str
    sidecar: str
    incarnation: str
    released_attempt: int = 0
    release: Release | None = None


class KeyOwner:
    """Owner of idempotency keys at one incarnation of one sidecar.

    A grant moves to another sidecar only when the granted sidecar has refused it
    permanently, or when the only request that ever received it has sent nothing. At
    most one sidecar can therefore dispatch a key. A grant to no sidecar may move
    `KEY_SETTLED_MS` after it was last returned.
    """

    def __init__(self, *, name: str, incarnation: str, started_wall_ms: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._oldest_stamp_ms = started_wall_ms + KEY_MAX_FUTURE_MS + CLOCK_SKEW_MS
        self._key_states: TtlMap[_KeyState] = TtlMap(
            retention_ms=KEY_RETENTION_MS + 2 * KEY_MAX_FUTURE_MS
        )

    def __len__(self) -> int:
        return len(self._key_states)

    def claim(
        self, claim: Claim, *, now_ms: int, wall_ms: int
    ) -> Result[Grant, Reason]:
        """Return the active grant of a key; issue or move it if that is safe.

        The error is `KEY_REUSED` if the key was claimed with another fingerprint.
        Otherwise it is the reason why the key is invalid, or why a key without a
        record may have been dispatched before.
        """
        scoped_key = f"{claim.organisation}/{claim.key}"
        key_state = self._key_states.get(scoped_key)
        if key_state is None:
            return self._grant_first(scoped_key, claim, now_ms=now_ms, wall_ms=wall_ms)
        if key_state.fingerprint != claim.fingerprint:
            return Err(Reason.KEY_REUSED)
        if self._may_move(key_state, claim, now_ms=now_ms):
            key_state.grant = Grant(
                sidecar=claim.sidecar,
                incarnation=claim.incarnation,
                attempt=key_state.grant.attempt + 1,
            )
            key_state.grantee_ids = set()
        key_state.grantee_ids.add(claim.request_id)
        return Ok(_active_grant(key_state, now_ms=now_ms))

    def _grant_first(
        self, scoped_key: str, claim: Claim, *, now_ms: int, wall_ms: int
    ) -> Result[Grant, Reason]:
        """Issue the first grant of a key that cannot have been dispatched before."""
        key = parse_key(claim.key)
        if isinstance(key, Err):
            return key
        reason = self._rejection_reason(key.ok_value, wall_ms=wall_ms)
        if reason is not None:
            return Err(reason)
        grant = Grant(
            sidecar=claim.sidecar,
            incarnation=claim.incarnation,
            attempt=FIRST_ATTEMPT,
        )
        key_state = _KeyState(
            grant=grant,
            fingerprint=claim.fingerprint,
            grantee_ids={claim.request_id},
        )
        self._key_states.put(scoped_key, key_state, now_ms=now_ms)
        return Ok(_active_grant(key_state, now_ms=now_ms))

    def _rejection_reason(self, key: Key, *, wall_ms: int) -> Reason | None:
        """Return why an unrecorded key may have been dispatched before, or None.

        An earlier incarnation, whose records are lost, may have granted a plain key
        that is stamped before this owner started, or later by at most the tolerated
        future time and clock skew. A ticket names the incarnation of its owner.
        """
        if key.stamp_ms > wall_ms + KEY_MAX_FUTURE_MS:
            return Reason.KEY_FROM_FUTURE
        if key.stamp_ms <= wall_ms - KEY_RETENTION_MS:
            return Reason.KEY_EXPIRED
        if isinstance(key, PlainKey):
            is_too_old = key.stamp_ms <= self._oldest_stamp_ms
            return Reason.KEY_BEFORE_START if is_too_old else None
        is_own_ticket = (key.owner, key.incarnation) == (self._name, self._incarnation)
        return None if is_own_ticket else Reason.WRONG_INCARNATION

    @staticmethod
    def _may_move(key_state: _KeyState, claim: Claim, *, now_ms: int) -> bool:
        """Return True if nothing can be dispatched under the active grant.

        A grant to no sidecar must also have reached its `settled_until_ms`.
        """
        if key_state.grant.sidecar == NO_SIDECAR:
            return now_ms >= key_state.settled_until_ms
        if claim.released_attempt != key_state.grant.attempt:
            return False
        if claim.release is Release.REFUSED:
            return True
        is_only_grantee = key_state.grantee_ids == {claim.request_id}
        return claim.release is Release.NOT_SENT and is_only_grantee


def _active_grant(key_state: _KeyState, *, now_ms: int) -> Grant:
    """Return the active grant; fix a grant to no sidecar for `KEY_SETTLED_MS`."""
    if key_state.grant.sidecar == NO_SIDECAR:
        key_state.settled_until_ms = now_ms + KEY_SETTLED_MS
    return key_state.grant
