"""Quarantine of prompt parts with which requests crash targets."""

from ._core import CrashEvidence, CrashQuarantine, Quarantine, TargetCrash
from ._explanations import (
    CrashContext,
    CrashExplanations,
    Explanation,
    IsCold,
    TargetPlace,
    is_never_cold,
)
from ._keys import is_request_key, request_key
from .const import MAX_ACCUSED_PARTS, PROOF_AGE_MS

__all__ = [
    "MAX_ACCUSED_PARTS",
    "PROOF_AGE_MS",
    "CrashContext",
    "CrashEvidence",
    "CrashExplanations",
    "CrashQuarantine",
    "Explanation",
    "IsCold",
    "Quarantine",
    "TargetCrash",
    "TargetPlace",
    "is_never_cold",
    "is_request_key",
    "request_key",
]
