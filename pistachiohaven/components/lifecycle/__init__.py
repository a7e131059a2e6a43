"""Lifecycle of a process: whether it accepts new work."""

from ._core import Lifecycle

__all__ = ["Lifecycle"]
