"""Run what entries and sidecars share: settings, list, peers, drain."""

from ._node import Node, leave_on_signal

__all__ = ["Node", "leave_on_signal"]
