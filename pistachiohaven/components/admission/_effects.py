"""Effects that admission returns for the sidecar to execute."""

from dataclasses import dataclass

from pistachiohaven.core import Reason, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Effect that sends the request to the target."""

    work: Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Effect that refuses an undispatched request permanently."""

    work: Work
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Preempt:
    """Effect that cancels a running request.

    `wasted_tokens` are its prompt tokens, whose prefill is lost.
    """

    work: Work
    wasted_tokens: int


Effect = Dispatch | Refuse | Preempt
