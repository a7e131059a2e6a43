"""Constants of the settings tree."""

from typing import Final

ROOT: Final = ""
"""Path of the root node of the tree."""

SEPARATOR: Final = "/"
MAX_DELTAS: Final = 256
"""Recent deltas that are kept to make a delta for a peer."""

MAX_TREE_BYTES: Final = 1_048_576
"""Largest size of an operator's settings file."""
