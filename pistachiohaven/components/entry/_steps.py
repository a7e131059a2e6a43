"""Actions and events of the state machine of a request.

Each class has a `log_name`, which the `step` log line reports as `action` or `learnt`.
"""

from dataclasses import dataclass
from typing import ClassVar

from pistachiohaven.components.dispatch import Grant, Release, Stage
from pistachiohaven.components.peer import StageResponse
from pistachiohaven.core import Outcome, Reason

# Actions: what the entry does next for the request


@dataclass(frozen=True, slots=True, kw_only=True)
class SendClaim:
    """Claim of an idempotency key for `sidecar`, sent to the key owner.

    `NO_SIDECAR` claims that no sidecar may dispatch the key. With `release` the claim
    also releases the grant of `released_attempt`.
    """

    log_name: ClassVar[str] = "SendClaim"

    sidecar: str
    incarnation: str
    released_attempt: int = 0
    release: Release | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendOffer:
    """Offer of the request to a sidecar."""

    log_name: ClassVar[str] = "SendOffer"

    sidecar: str
    incarnation: str
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SendWithdraw:
    """Withdrawal of an offer; the response says whether it was dispatched before."""

    log_name: ClassVar[str] = "SendWithdraw"

    sidecar: str
    incarnation: str
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SendResume:
    """Request for the part of the response that the entry has not received yet.

    `request_id` is that of the dispatched request, which may be an earlier try with
    the same key.
    """

    log_name: ClassVar[str] = "SendResume"

    sidecar: str
    incarnation: str
    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPoll:
    """Poll of the reports of targets.

    It also sends the targets a shed threshold, since the rank of the request finds no
    capacity.
    """

    log_name: ClassVar[str] = "SendPoll"

    sidecars: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Final outcome, to be sent to the caller.

    `retry_after_ms` is 0 if no time for a retry is suggested.
    """

    log_name: ClassVar[str] = "Finish"

    outcome: Outcome
    reason: Reason | None = None
    retry_after_ms: int = 0


Action = SendClaim | SendOffer | SendWithdraw | SendResume | SendPoll | Finish

# Events: results of the last action


@dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """Grant of the key by its owner."""

    log_name: ClassVar[str] = "Granted"

    grant: Grant


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRefused:
    """Refusal of the claim, by the key owner or for lack of a provable owner."""

    log_name: ClassVar[str] = "ClaimRefused"

    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimLost:
    """Claim without a response of the key owner."""

    log_name: ClassVar[str] = "ClaimLost"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Refusal of the offer by the sidecar, before dispatch."""

    log_name: ClassVar[str] = "Refused"

    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DuplicateOffer:
    """Duplicate offer: the sidecar already has `request_id` with the same key."""

    log_name: ClassVar[str] = "AlreadyKnown"

    request_id: str
    stage: Stage


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """Offer of which no byte was sent."""

    log_name: ClassVar[str] = "NotSent"


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseLost:
    """Loss of the response: the sidecar stalled, or the connection broke.

    `has_response_bytes` is True if response bytes had arrived before.
    """

    log_name: ClassVar[str] = "Silent"

    has_response_bytes: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StageReceived:
    """Stage of the request as reported by the sidecar; None without a response."""

    log_name: ClassVar[str] = "Staged"

    response: StageResponse | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseUnavailable:
    """Loss of the response to a request that ran: the sidecar no longer keeps it."""

    log_name: ClassVar[str] = "AnswerGone"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlineExpired:
    """Expiry of the deadline before the first byte of the response."""

    log_name: ClassVar[str] = "TimeUp"


@dataclass(frozen=True, slots=True, kw_only=True)
class Polled:
    """End of a poll: the targets have responded or the poll timed out."""

    log_name: ClassVar[str] = "Polled"


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseCompleted:
    """Complete response."""

    log_name: ClassVar[str] = "Whole"


Event = (
    Granted
    | ClaimRefused
    | ClaimLost
    | Refused
    | DuplicateOffer
    | NotSent
    | ResponseLost
    | StageReceived
    | ResponseUnavailable
    | DeadlineExpired
    | Polled
    | ResponseCompleted
)
