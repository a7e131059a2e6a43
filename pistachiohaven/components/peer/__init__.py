"""Messages between the processes of the system, and their encoding."""

from ._codec import decode, decode_report, encode, encode_report
from ._models import (
    AbandonMessage,
    ClaimAnswer,
    KnownMessage,
    OfferFacts,
    OfferMessage,
    RefusalMessage,
    Report,
    ResumeMessage,
    StageAnswer,
)

__all__ = [
    "AbandonMessage",
    "ClaimAnswer",
    "KnownMessage",
    "OfferFacts",
    "OfferMessage",
    "RefusalMessage",
    "Report",
    "ResumeMessage",
    "StageAnswer",
    "decode",
    "decode_report",
    "encode",
    "encode_report",
]
