"""Target of a sidecar: a model engine or a plain service."""

from ._kinds import (
    EngineTarget,
    ServiceTarget,
    Target,
    answer_tokens,
    cancel_call,
    make_target,
    target_headers,
)

__all__ = [
    "EngineTarget",
    "ServiceTarget",
    "Target",
    "answer_tokens",
    "cancel_call",
    "make_target",
    "target_headers",
]
