"""Handover of freed slots to the entries whose requests should get them."""

from ._claims import Claim, choose_claimant
from ._core import HandoverCore, HandoverResult, Outgoing
from ._offers import Offer, Offers

__all__ = [
    "Claim",
    "HandoverCore",
    "HandoverResult",
    "Offer",
    "Offers",
    "Outgoing",
    "choose_claimant",
]
