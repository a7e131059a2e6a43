"""Name what a request does next and what is learnt from it."""

from dataclasses import dataclass

from pistachiohaven.components.dispatch import Grant, Release, Stage
from pistachiohaven.components.peer import StageAnswer
from pistachiohaven.core import Outcome, Reason

# Actions: what the entry does next for the request.


@dataclass(frozen=True, slots=True, kw_only=True)
class SendClaim:
    """Ask the home of the key for a grant, giving one back with `release`."""

    sidecar: str
    incarnation: str
    released_attempt: int = 0
    release: Release | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendOffer:
    """Offer the request to a sidecar."""

    sidecar: str
    incarnation: str
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SendWithdraw:
    """Take the offer back, or learn that it was dispatched."""

    sidecar: str
    incarnation: str
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SendResume:
    """Ask for the answer of `request_id` from where it broke off."""

    sidecar: str
    incarnation: str
    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPoll:
    """Ask targets what they hold and tell them that this rank finds no room."""

    sidecars: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Tell the caller the outcome."""

    outcome: Outcome
    reason: Reason | None = None
    retry_after_ms: int = 0


Action = SendClaim | SendOffer | SendWithdraw | SendResume | SendPoll | Finish

# Events: what the entry learnt about the last action.


@dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """The home granted the key."""

    grant: Grant


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRefused:
    """The home refused the claim."""

    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimLost:
    """The home did not answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The sidecar refused the offer before dispatch."""

    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AlreadyKnown:
    """Another request holds this key at the sidecar."""

    request_id: str
    stage: Stage


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """No byte of the offer left this process."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Silent:
    """The sidecar fell silent, or the connection broke; `began` after a first byte."""

    began: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Staged:
    """The sidecar said how far the request came; no answer is None."""

    answer: StageAnswer | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerGone:
    """The request ran, but its answer is no longer kept."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeUp:
    """No byte of the answer came before the deadline."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Polled:
    """The targets in reach have answered."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Whole:
    """The whole answer came."""


Event = (
    Granted
    | ClaimRefused
    | ClaimLost
    | Refused
    | AlreadyKnown
    | NotSent
    | Silent
    | Staged
    | AnswerGone
    | TimeUp
    | Polled
    | Whole
)
