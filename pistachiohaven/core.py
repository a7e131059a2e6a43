"""Enums and data classes that all components share."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Result of a request; a caller gets exactly one of these.

    A `NOT_RUN` request certainly did not run, a `CUT_AFTER_DISPATCH` one was dispatched
    without a complete response, and an `UNKNOWN` one may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    CUT_AFTER_DISPATCH = "cut_after_dispatch"
    UNKNOWN = "unknown"


class TargetKind(StrEnum):
    """Kind of a target."""

    ENGINE = "engine"
    SERVICE = "service"


class Phase(StrEnum):
    """Phase in the life of a process; only `SERVING` accepts new work."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Reason(StrEnum):
    """Reason of a refusal, of a response that was cut, or of an unknown outcome.

    `HOME` in a name is the owner of an idempotency key, and `ANSWER` a response.
    """

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_SENDER = "slow_sender"
    UNKNOWN_LEAF = "unknown_leaf"
    NO_SETTINGS = "no_settings"
    NO_TARGET = "no_target"
    OVERLOAD = "overload"
    EVICTED = "evicted"
    PREEMPTED = "preempted"
    QUEUE_DEADLINE = "queue_deadline"
    DEADLINE = "deadline"
    DRAINING = "draining"
    STARTING = "starting"
    WRONG_INCARNATION = "wrong_incarnation"
    WITHDRAWN = "withdrawn"
    TOMBSTONE = "tombstone"
    DUPLICATE = "duplicate"
    IN_PROGRESS = "in_progress"
    ANSWER_NOT_KEPT = "answer_not_kept"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"
    KEY_NOT_STAMPED = "key_not_stamped"
    KEY_BEFORE_START = "key_before_start"
    KEY_REUSED = "key_reused"
    KEY_SETTLED = "key_settled"
    OFFER_EXPIRED = "offer_expired"
    HOME_NOT_PROVEN = "home_not_proven"
    HOME_UNREACHABLE = "home_unreachable"
    CONNECT_FAILED = "connect_failed"
    TARGET_FAILED = "target_failed"
    TARGET_UNREACHABLE = "target_unreachable"
    SIDECAR_LOST = "sidecar_lost"
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS_SPENT = "attempts_spent"
    CALLER_LEFT = "caller_left"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_ANSWER = "no_answer"
    TARGET_ERROR = "target_error"
    STREAM_BROKEN = "stream_broken"
    INTERNAL = "internal"


NO_TOMBSTONE = frozenset({Reason.WRONG_INCARNATION, Reason.OFFER_EXPIRED})
"""Reasons for which a sidecar refuses one copy of an offer without a tombstone.

An earlier copy may have been dispatched.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One instance of the published list.

    `address` is `ip:port`; `pools` are the names of the models or services it serves.
    The speed assumed for a target without reports is multiplied by its `generation`.
    """

    name: str
    role: str
    data_centre: str
    region: str
    address: str
    leaving: bool = False
    kind: TargetKind = TargetKind.ENGINE
    pools: tuple[str, ...] = ()
    generation: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """One request as admission and routing see it.

    `rank` 0 is the most urgent; sizes are in tokens, times in milliseconds. The request
    may wait `max_queue_ms` before its dispatch and should have its first token within
    `first_token_ms`. Fair queueing divides its cost by `weight`. `prefix` is the id of
    the cacheable prefix of its prompt and `key` its idempotency key; both may be empty.
    """

    request_id: str
    organisation: str
    rank: int
    weight: float
    pool: str
    prefill_tokens: int
    decode_tokens: int
    idempotent: bool
    max_queue_ms: int
    first_token_ms: int = 60_000
    prefix: str = ""
    key: str = ""
