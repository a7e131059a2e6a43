"""Name the constants of the settings tree."""

from typing import Final

ROOT: Final = ""
SEPARATOR: Final = "/"
DELTAS_KEPT: Final = 256
"""Number of recent edits from which a delta for a peer can be made."""

MAX_TREE_BYTES: Final = 1_048_576
