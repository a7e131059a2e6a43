"""Test that a key's grant never lives at two sidecars at once."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from pistachiohaven.components.dispatch import (
    NOBODY,
    SETTLED_MS,
    Claim,
    DispatchRecord,
    Fresh,
    Gone,
    Grant,
    KeyHome,
    Known,
    Release,
)
from pistachiohaven.components.dispatch.const import KEY_FUTURE_MS
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


def make_home() -> KeyHome:
    return KeyHome(name="h", incarnation="h1", started_wall_ms=STARTED_MS)


def claim(home: KeyHome, asked: Claim, wall_ms: int = NOW_MS) -> object:
    granted = home.claim(asked, now_ms=wall_ms - STARTED_MS, wall_ms=wall_ms)
    return granted.ok_value if isinstance(granted, Ok) else granted.err_value


def test_key_must_prove_itself_new() -> None:
    oldest_ms = STARTED_MS + KEY_FUTURE_MS + CLOCK_SKEW_MS
    cases = {
        oldest_ms: Reason.KEY_BEFORE_START,
        NOW_MS + KEY_FUTURE_MS + 1: Reason.KEY_FROM_FUTURE,
    }
    for stamp_ms, reason in cases.items():
        assert claim(make_home(), make_claim(make_key(stamp_ms))) is reason
    late_ms = NOW_MS + KEY_RETENTION_MS
    key = make_key(NOW_MS)
    assert claim(make_home(), make_claim(key), late_ms) is Reason.KEY_EXPIRED
    assert isinstance(claim(make_home(), make_claim(make_key(oldest_ms + 1))), Grant)


def test_key_with_another_body_is_refused() -> None:
    home = make_home()
    key = make_key(NOW_MS)
    claim(home, make_claim(key))
    assert claim(home, make_claim(key, fingerprint="g")) is Reason.KEY_REUSED


def test_unsent_grant_moves_only_for_its_only_holder() -> None:
    home = make_home()
    key = make_key(NOW_MS)
    claim(home, make_claim(key))
    release = {"released_attempt": 1, "release": Release.NOT_SENT, "sidecar": "b"}
    assert claim(home, make_claim(key, **release)).sidecar == "b"  # type: ignore[attr-defined]
    claim(home, make_claim(key, request_id="r2"))
    release["released_attempt"] = 2
    release["sidecar"] = "a"
    assert claim(home, make_claim(key, **release)).sidecar == "b"  # type: ignore[attr-defined]


def test_key_that_nobody_may_run_stays_so_while_callers_are_told() -> None:
    home = make_home()
    key = make_key(NOW_MS)
    settled = claim(home, make_claim(key, sidecar=NOBODY))
    assert isinstance(settled, Grant) and settled.sidecar == NOBODY
    early = claim(home, make_claim(key, request_id="r2"), NOW_MS + SETTLED_MS - 1)
    assert isinstance(early, Grant) and early.sidecar == NOBODY
    late = claim(home, make_claim(key, request_id="r2"), NOW_MS + 2 * SETTLED_MS)
    assert isinstance(late, Grant) and late.sidecar == "a"


class KeyMachine(RuleBasedStateMachine):
    """Let several requests of one key claim, offer and release in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.home = make_home()
        self.key = make_key(NOW_MS)
        self.records = {"a": DispatchRecord(), "b": DispatchRecord()}
        self.held: dict[str, Grant] = {}
        self.offered: set[tuple[str, int]] = set()
        self.runs: list[str] = []

    def ask(self, request: str, **changes: object) -> None:
        granted = claim(self.home, make_claim(self.key, request_id=request, **changes))
        assert isinstance(granted, Grant)
        self.held[request] = granted

    @rule(request=REQUESTS, sidecar=SIDECARS)
    def claims(self, request: str, sidecar: str) -> None:
        self.ask(request, sidecar=sidecar)

    @rule(request=REQUESTS, accepts=st.booleans(), sidecar=SIDECARS)
    def offers(self, request: str, accepts: bool, sidecar: str) -> None:
        grant = self.held.get(request)
        if grant is None:
            return
        self.offered.add((request, grant.attempt))
        record = self.records[grant.sidecar]
        verdict = record.judge(dispatch_id="k", attempt=grant.attempt)
        if isinstance(verdict, Known):
            return
        if isinstance(verdict, Fresh) and accepts:
            record.admit(
                dispatch_id="k", request_id=request, attempt=grant.attempt, keyed=True
            )
            record.dispatch("k")
            self.runs.append(grant.sidecar)
            return
        if isinstance(verdict, Fresh):
            record.refuse(
                dispatch_id="k",
                request_id=request,
                attempt=grant.attempt,
                keyed=True,
                reason=Reason.OVERLOAD,
                now_ms=0,
            )
        assert isinstance(record.judge(dispatch_id="k", attempt=grant.attempt), Gone)
        self.ask(
            request,
            sidecar=sidecar,
            released_attempt=grant.attempt,
            release=Release.REFUSED,
        )

    @rule(request=REQUESTS, sidecar=SIDECARS)
    def gives_back_unsent(self, request: str, sidecar: str) -> None:
        grant = self.held.get(request)
        if grant is not None and (request, grant.attempt) not in self.offered:
            self.ask(
                request,
                sidecar=sidecar,
                released_attempt=grant.attempt,
                release=Release.NOT_SENT,
            )

    @invariant()
    def ran_at_most_once(self) -> None:
        assert len(self.runs) <= 1, self.runs


TestKeyMachine = KeyMachine.TestCase
TestKeyMachine.settings = settings(
    max_examples=150, stateful_step_count=25, deadline=None
)
