"""Offer the commands that operators and developers run."""

from ._commands import Commands

__all__ = ["Commands"]
