"""Spread what the platform publishes from node to node."""

from ._core import Spread, push_of
from ._models import FullTree, Known, News, Sync

__all__ = ["FullTree", "Known", "News", "Spread", "Sync", "push_of"]
