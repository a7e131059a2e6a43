"""Decide whether a process takes new work, in one place."""

from ._core import Lifecycle

__all__ = ["Lifecycle"]
