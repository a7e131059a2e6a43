"""Take callers' requests and pick a target for each."""

from ._request import RequestCore

__all__ = ["RequestCore"]
