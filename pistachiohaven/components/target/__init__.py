"""Target of a sidecar: a model engine or a plain service."""

from ._kinds import (
    EngineTarget,
    ServiceTarget,
    Target,
    cancel_path,
    count_response_tokens,
    make_target,
    target_headers,
)

__all__ = [
    "EngineTarget",
    "ServiceTarget",
    "Target",
    "cancel_path",
    "count_response_tokens",
    "make_target",
    "target_headers",
]
