"""Node: settings, instance list, peers and drain of entries and sidecars."""

from ._node import Node, drain_on_signal

__all__ = ["Node", "drain_on_signal"]
