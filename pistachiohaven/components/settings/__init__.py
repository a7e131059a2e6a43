"""Keep the settings tree that operators edit."""

from ._core import (
    Acceptance,
    Origin,
    SettingsStore,
    Tree,
    difference,
    explain,
    leaf_paths,
    make_tree,
    parse_tree,
    resolve,
)
from ._models import Delta, Fault, Leaf, Overrides, PlainKeys
from ._parse import parse_yaml

__all__ = [
    "Acceptance",
    "Delta",
    "Fault",
    "Leaf",
    "Origin",
    "Overrides",
    "PlainKeys",
    "SettingsStore",
    "Tree",
    "difference",
    "explain",
    "leaf_paths",
    "make_tree",
    "parse_tree",
    "parse_yaml",
    "resolve",
]
