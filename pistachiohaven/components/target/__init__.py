"""Target of a sidecar: a model engine or a plain service."""

from ._kinds import (
    EngineTarget,
    ServiceTarget,
    Target,
    count_response_tokens,
    cancel_path,
    make_target,
    target_headers,
)

__all__ = [
    "EngineTarget",
    "ServiceTarget",
    "Target",
    "count_response_tokens",
    "cancel_path",
    "make_target",
    "target_headers",
]
