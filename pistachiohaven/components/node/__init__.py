"""Node: settings, list, peers and drain, which entries and sidecars share."""

from ._node import Node, leave_on_signal

__all__ = ["Node", "leave_on_signal"]
