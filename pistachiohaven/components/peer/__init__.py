"""Messages between the processes of the system, and their encoding."""

from ._codec import decode, decode_report, encode, encode_report
from ._models import (
    AbandonMessage,
    ClaimResponse,
    DuplicateMessage,
    OfferFacts,
    OfferMessage,
    RefusalMessage,
    Report,
    ResumeMessage,
    StageResponse,
)

__all__ = [
    "AbandonMessage",
    "ClaimResponse",
    "DuplicateMessage",
    "OfferFacts",
    "OfferMessage",
    "RefusalMessage",
    "Report",
    "ResumeMessage",
    "StageResponse",
    "decode",
    "decode_report",
    "encode",
    "encode_report",
]
