"""Settings tree that operators edit: validation, inheritance and revisions."""

from ._core import (
    Acceptance,
    ResolvedValue,
    SettingsStore,
    Tree,
    explain,
    leaf_paths,
    make_delta,
    make_tree,
    parse_tree,
    resolve,
)
from ._models import Delta, Leaf, Overrides, PlainKeyPolicy, ValidationIssue
from ._parse import parse_yaml

__all__ = [
    "Acceptance",
    "Delta",
    "Leaf",
    "Overrides",
    "PlainKeyPolicy",
    "ResolvedValue",
    "SettingsStore",
    "Tree",
    "ValidationIssue",
    "explain",
    "leaf_paths",
    "make_delta",
    "make_tree",
    "parse_tree",
    "parse_yaml",
    "resolve",
]
