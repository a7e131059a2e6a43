"""Entry: accepts callers' requests and offers each to a target."""

from ._request import RequestCore

__all__ = ["RequestCore"]
