"""Name what admission decides about requests."""

from dataclasses import dataclass

from pistachiohaven.core import Reason, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Hand the request to the target now."""

    work: Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse an undispatched request for good."""

    work: Work
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Preempt:
    """Cancel a running request; `wasted_tokens` is the prefill it loses."""

    work: Work
    wasted_tokens: int


Effect = Dispatch | Refuse | Preempt
