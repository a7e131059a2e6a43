"""Gossip of the platform's published documents between nodes."""

from ._core import Gossip, make_push
from ._models import FullTree, GossipUpdate, NodeVersions, SyncRequest

__all__ = [
    "FullTree",
    "Gossip",
    "GossipUpdate",
    "NodeVersions",
    "SyncRequest",
    "make_push",
]
