"""Command line for operators and developers."""

from ._commands import Commands

__all__ = ["Commands"]
