"""Node: settings, instance list, peers and drain of entries and sidecars."""

from ._node import Node, leave_on_signal

__all__ = ["Node", "leave_on_signal"]
