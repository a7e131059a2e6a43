"""Tests that an idempotency key is never granted to two sidecars at once."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from pistachiohaven.components.dispatch import (
    KEY_SETTLED_MS,
    NO_SIDECAR,
    Admissible,
    Claim,
    DispatchRecord,
    Duplicate,
    Grant,
    KeyOwner,
    Release,
    Tombstoned,
)
from pistachiohaven.components.dispatch.const import KEY_MAX_FUTURE_MS
from pistachiohaven.const import CLOCK_SKEW_MS, KEY_RETENTION_MS
from pistachiohaven.core import Reason
from pistachiohaven.helpers import make_uuid7

STARTED_MS = 1_000_000_000
NOW_MS = STARTED_MS + 60_000
SIDECARS = st.sampled_from(["a", "b"])
REQUESTS = st.sampled_from(["r1", "r2", "r3"])


def make_key(stamp_ms: int) -> str:
    return make_uuid7(wall_ms=stamp_ms, rng=random.Random(1))


def make_claim(key: str, **changes: object) -> Claim:
    values: dict[str, object] = {
        "organisation": "org",
        "key": key,
        "request_id": "r1",
        "fingerprint": "f",
        "sidecar": "a",
        "incarnation": "a1",
    }
    values.update(changes)
    return Claim(**values)  # type: ignore[arg-type]


def make_key_owner() -> KeyOwner:
    return KeyOwner(name="h", incarnation="h1", started_wall_ms=STARTED_MS)


def claim(key_owner: KeyOwner, request: Claim, wall_ms: int = NOW_MS) -> object:
    result = key_owner.claim(request, now_ms=wall_ms - STARTED_MS, wall_ms=wall_ms)
    return result.ok_value if isinstance(result, Ok) else result.err_value


def test_key_that_may_have_been_dispatched_before_is_refused() -> None:
    """Keys from before the start, from the future or expired get no first grant."""
    oldest_ms = STARTED_MS + KEY_MAX_FUTURE_MS + CLOCK_SKEW_MS
    cases = {
        oldest_ms: Reason.KEY_BEFORE_START,
        NOW_MS + KEY_MAX_FUTURE_MS + 1: Reason.KEY_FROM_FUTURE,
    }
    for stamp_ms, reason in cases.items():
        assert claim(make_key_owner(), make_claim(make_key(stamp_ms))) is reason
    late_ms = NOW_MS + KEY_RETENTION_MS
    key = make_key(NOW_MS)
    assert claim(make_key_owner(), make_claim(key), late_ms) is Reason.KEY_EXPIRED
    assert isinstance(
        claim(make_key_owner(), make_claim(make_key(oldest_ms + 1))), Grant
    )


def test_key_reused_with_another_body_is_refused() -> None:
    key_owner = make_key_owner()
    key = make_key(NOW_MS)
    claim(key_owner, make_claim(key))
    assert claim(key_owner, make_claim(key, fingerprint="g")) is Reason.KEY_REUSED


def test_unsent_grant_moves_only_for_its_only_grantee() -> None:
    """A second request that received the grant may have sent an offer under it."""
    key_owner = make_key_owner()
    key = make_key(NOW_MS)
    claim(key_owner, make_claim(key))
    release = {"released_attempt": 1, "release": Release.NOT_SENT, "sidecar": "b"}
    assert claim(key_owner, make_claim(key, **release)).sidecar == "b"  # type: ignore[attr-defined]
    claim(key_owner, make_claim(key, request_id="r2"))
    release["released_attempt"] = 2
    release["sidecar"] = "a"
    assert claim(key_owner, make_claim(key, **release)).sidecar == "b"  # type: ignore[attr-defined]


def test_grant_to_no_sidecar_does_not_move_while_callers_are_informed() -> None:
    """Until `KEY_SETTLED_MS`, an entry may respond that the key was not dispatched.

    A grant to another request within this time would make that response false.
    """
    key_owner = make_key_owner()
    key = make_key(NOW_MS)
    settled = claim(key_owner, make_claim(key, sidecar=NO_SIDECAR))
    assert isinstance(settled, Grant) and settled.sidecar == NO_SIDECAR
    early = claim(
        key_owner, make_claim(key, request_id="r2"), NOW_MS + KEY_SETTLED_MS - 1
    )
    assert isinstance(early, Grant) and early.sidecar == NO_SIDECAR
    late = claim(
        key_owner, make_claim(key, request_id="r2"), NOW_MS + 2 * KEY_SETTLED_MS
    )
    assert isinstance(late, Grant) and late.sidecar == "a"


class KeyMachine(RuleBasedStateMachine):
    """Random order in which requests with the same key claim, offer and release.

    Each step checks that the key was dispatched at most once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.key_owner = make_key_owner()
        self.key = make_key(NOW_MS)
        self.records = {"a": DispatchRecord(), "b": DispatchRecord()}
        self.grants: dict[str, Grant] = {}
        self.offered: set[tuple[str, int]] = set()
        self.dispatched_at: list[str] = []

    def send_claim(self, request: str, **changes: object) -> None:
        result = claim(
            self.key_owner, make_claim(self.key, request_id=request, **changes)
        )
        assert isinstance(result, Grant)
        self.grants[request] = result

    @rule(request=REQUESTS, sidecar=SIDECARS)
    def claim_key(self, request: str, sidecar: str) -> None:
        self.send_claim(request, sidecar=sidecar)

    @rule(request=REQUESTS, accepts=st.booleans(), sidecar=SIDECARS)
    def offer_key(self, request: str, accepts: bool, sidecar: str) -> None:
        grant = self.grants.get(request)
        if grant is None:
            return
        self.offered.add((request, grant.attempt))
        record = self.records[grant.sidecar]
        check_result = record.check(dispatch_id="k", attempt=grant.attempt)
        if isinstance(check_result, Duplicate):
            return
        if isinstance(check_result, Admissible) and accepts:
            record.admit(
                dispatch_id="k", request_id=request, attempt=grant.attempt, keyed=True
            )
            record.mark_dispatched("k")
            self.dispatched_at.append(grant.sidecar)
            return
        if isinstance(check_result, Admissible):
            record.refuse(
                dispatch_id="k",
                request_id=request,
                attempt=grant.attempt,
                keyed=True,
                reason=Reason.OVERLOAD,
                now_ms=0,
            )
        assert isinstance(
            record.check(dispatch_id="k", attempt=grant.attempt), Tombstoned
        )
        self.send_claim(
            request,
            sidecar=sidecar,
            released_attempt=grant.attempt,
            release=Release.REFUSED,
        )

    @rule(request=REQUESTS, sidecar=SIDECARS)
    def release_unsent(self, request: str, sidecar: str) -> None:
        grant = self.grants.get(request)
        if grant is not None and (request, grant.attempt) not in self.offered:
            self.send_claim(
                request,
                sidecar=sidecar,
                released_attempt=grant.attempt,
                release=Release.NOT_SENT,
            )

    @invariant()
    def dispatched_at_most_once(self) -> None:
        assert len(self.dispatched_at) <= 1, self.dispatched_at


TestKeyMachine = KeyMachine.TestCase
TestKeyMachine.settings = settings(
    max_examples=150, stateful_step_count=25, deadline=None
)
