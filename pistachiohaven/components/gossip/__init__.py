"""Gossip of the platform's published documents between nodes."""

from ._core import Gossip, push_of
from ._models import FullTree, GossipUpdate, Known, Sync

__all__ = ["FullTree", "Gossip", "GossipUpdate", "Known", "Sync", "push_of"]
