"""Hedging: decides when a slow request is sent to a second target as well."""

from ._core import HedgeDenial, HedgePolicy, HedgeRequest, HedgeTerms

__all__ = ["HedgeDenial", "HedgePolicy", "HedgeRequest", "HedgeTerms"]
