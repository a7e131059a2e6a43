"""Effects that admission returns for its caller to execute."""

from dataclasses import dataclass

from pistachiohaven.core import Reason, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Send the request to the target now."""

    work: Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse an undispatched request permanently."""

    work: Work
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Preempt:
    """Cancel a running request; `wasted_tokens` is its discarded prefill."""

    work: Work
    wasted_tokens: int


Effect = Dispatch | Refuse | Preempt
