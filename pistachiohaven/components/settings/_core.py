"""Settings tree: inheritance, revisions and deltas between revisions."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TypeAlias

import msgspec
import xxhash
from result import Err, Ok, Result

from ._models import (
    DEFAULT_OVERRIDES,
    OVERRIDE_NAMES,
    Delta,
    Leaf,
    Overrides,
    OverridesModel,
    TreeModel,
    ValidationIssue,
)
from ._parse import parse_yaml
from .const import MAX_DELTAS, MAX_TREE_BYTES, ROOT, SEPARATOR

Changes: TypeAlias = dict[str, Overrides | None]
"""Changed nodes by path; None removes a node."""

LEAF_DEPTH = 3
"""Number of names in the path of a leaf: organisation, application, tier."""


class Acceptance(StrEnum):
    """Result of offering a revision to the store.

    SAME: the tree is active already. STALE: the revision is not newer than the active
    one. GAP: a delta does not start at the active revision. CORRUPT: the digest does
    not match.
    """

    ACCEPTED = "accepted"
    SAME = "same"
    STALE = "stale"
    GAP = "gap"
    CORRUPT = "corrupt"


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolvedValue:
    """Resolved setting with the path of the node that sets it."""

    name: str
    value: object
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Tree:
    """One revision of the settings: the overrides of each node by path.

    `digest` is a hash of all nodes.
    """

    revision: int
    nodes: dict[str, Overrides]
    digest: str


def _make_overrides(model: OverridesModel) -> Overrides:
    """Return the data class with the values of a validated model."""
    return Overrides(**model.model_dump(mode="json"))


def _node_hash(path: str, overrides: Overrides) -> int:
    """Return the hash of the path and content of one node."""
    content = msgspec.msgpack.encode(overrides)
    return xxhash.xxh3_64_intdigest(path.encode() + b"\x1f" + content)


def _digest(nodes: dict[str, Overrides]) -> str:
    """Return a hash of all nodes that does not depend on their order."""
    total = 0
    for path, overrides in nodes.items():
        total ^= _node_hash(path, overrides)
    return f"{total:016x}"


def update_tree(tree: Tree, *, revision: int, changes: Changes) -> Tree:
    """Return `tree` with `changes` applied; only changed nodes are hashed again."""
    total = int(tree.digest, 16)
    for path, overrides in changes.items():
        before = tree.nodes.get(path)
        total ^= 0 if before is None else _node_hash(path, before)
        total ^= 0 if overrides is None else _node_hash(path, overrides)
    nodes = apply_node_changes(tree.nodes, changes)
    return Tree(revision=revision, nodes=nodes, digest=f"{total:016x}")


def make_tree(*, revision: int, nodes: dict[str, Overrides]) -> Tree:
    """Return a tree with its computed digest."""
    return Tree(revision=revision, nodes=nodes, digest=_digest(nodes))


def tree_from_model(model: TreeModel) -> Tree:
    """Return the tree, as data classes, of a validated document."""
    nodes = {ROOT: _make_overrides(model.settings)}
    for org_name, organisation in model.organisations.items():
        nodes[org_name] = _make_overrides(organisation.settings)
        for app_name, application in organisation.applications.items():
            app_path = org_name + SEPARATOR + app_name
            nodes[app_path] = _make_overrides(application.settings)
            for tier_name, tier in application.tiers.items():
                tier_path = app_path + SEPARATOR + tier_name
                nodes[tier_path] = _make_overrides(tier.settings)
    return make_tree(revision=model.revision, nodes=nodes)


def parse_tree(text: str) -> Result[Tree, list[ValidationIssue]]:
    """Return the tree in an operator's settings file, or all issues found.

    A tree with any issue is rejected as a whole.
    """
    if len(text.encode()) > MAX_TREE_BYTES:
        reason = f"larger than {MAX_TREE_BYTES} bytes"
        return Err([ValidationIssue(line=1, key="(document)", reason=reason)])
    parsed = parse_yaml(text, TreeModel)
    if isinstance(parsed, Err):
        return parsed
    tree = tree_from_model(parsed.ok_value)
    paths_without_pool = [
        path for path in leaf_paths(tree) if resolve(tree, path) is None
    ]
    if paths_without_pool:
        return Err([_missing_pool_issue(text, path) for path in paths_without_pool])
    return Ok(tree)


def _missing_pool_issue(text: str, path: str) -> ValidationIssue:
    """Return the issue for a leaf without its own or an inherited pool."""
    tier = path.rsplit(SEPARATOR, 1)[1]
    lines = text.splitlines()
    matching_lines = (
        number for number, line in enumerate(lines, 1) if line.strip(" :{}") == tier
    )
    reason = "neither this leaf nor a node above it sets a pool"
    return ValidationIssue(
        line=next(matching_lines, 1), key=f"{path}.pool", reason=reason
    )


def leaf_paths(tree: Tree) -> list[str]:
    """Return the paths of all leaves, sorted."""
    separator_count = LEAF_DEPTH - 1
    return sorted(
        path for path in tree.nodes if path.count(SEPARATOR) == separator_count
    )


def _path_and_ancestors(path: str) -> list[str]:
    """Return the path, then its ancestors up to the root."""
    names = path.split(SEPARATOR)
    paths = [SEPARATOR.join(names[:end]) for end in range(len(names), 0, -1)]
    return [*paths, ROOT]


def explain(tree: Tree, path: str) -> list[ResolvedValue]:
    """Return each resolved setting of `path` with the path of the node that sets it.

    That path is `(root)` for the root and `(default)` for a built-in default.
    """
    resolved_values: list[ResolvedValue] = []
    for name in OVERRIDE_NAMES:
        for node_path in _path_and_ancestors(path):
            node = tree.nodes.get(node_path)
            value = None if node is None else getattr(node, name)
            if value is not None:
                shown_path = node_path or "(root)"
                resolved_values.append(
                    ResolvedValue(name=name, value=value, path=shown_path)
                )
                break
        else:
            value = getattr(DEFAULT_OVERRIDES, name)
            resolved_values.append(
                ResolvedValue(name=name, value=value, path="(default)")
            )
    return resolved_values


def resolve(tree: Tree, path: str) -> Leaf | None:
    """Return the leaf at `path`, or None if there is no leaf or it has no pool."""
    if path not in tree.nodes or path.count(SEPARATOR) != LEAF_DEPTH - 1:
        return None
    values = {resolved.name: resolved.value for resolved in explain(tree, path)}
    if values["pool"] is None:
        return None
    return Leaf(path=path, **values)  # type: ignore[arg-type]


class SettingsStore:
    """Store of the active settings tree; its revision never decreases."""

    def __init__(self) -> None:
        self._tree: Tree | None = None
        self._leaves: dict[str, Leaf | None] = {}
        self._deltas: list[Delta] = []

    @property
    def tree(self) -> Tree | None:
        """Return the active tree, or None before the first one."""
        return self._tree

    @property
    def revision(self) -> int:
        """Return the active revision; 0 before the first one."""
        return 0 if self._tree is None else self._tree.revision

    @property
    def digest(self) -> str:
        """Return the digest of the active tree; empty before the first one."""
        return "" if self._tree is None else self._tree.digest

    def leaf(self, path: str) -> Leaf | None:
        """Return the resolved leaf at `path`, or None if there is none."""
        if self._tree is None:
            return None
        if path not in self._leaves:
            leaf = resolve(self._tree, path)
            if leaf is None:
                return None
            self._leaves[path] = leaf
        return self._leaves[path]

    def accept_tree(self, tree: Tree) -> Acceptance:
        """Replace the tree by a complete one if that is newer.

        A tree of the same revision with another digest is CORRUPT.
        """
        if tree.revision == self.revision:
            is_same = tree.digest == self.digest
            return Acceptance.SAME if is_same else Acceptance.CORRUPT
        if tree.revision < self.revision:
            return Acceptance.STALE
        if self._tree is not None:
            self._remember_delta(make_delta(self._tree, tree))
        self._replace_tree(tree)
        return Acceptance.ACCEPTED

    def accept_delta(self, delta: Delta) -> Acceptance:
        """Apply a delta from the active revision.

        A delta from another revision is a GAP; one whose digest does not match the
        result is CORRUPT.
        """
        if delta.to_revision <= self.revision:
            return Acceptance.STALE
        if self._tree is None or delta.from_revision != self.revision:
            return Acceptance.GAP
        tree = update_tree(
            self._tree, revision=delta.to_revision, changes=delta.changes
        )
        if tree.digest != delta.digest:
            return Acceptance.CORRUPT
        self._remember_delta(delta)
        self._replace_tree(tree)
        return Acceptance.ACCEPTED

    def delta_since(self, revision: int) -> Delta | None:
        """Return one delta from `revision` to the active revision.

        Returns None if the deltas from `revision` on are no longer kept.
        """
        if self._tree is None:
            return None
        pending_deltas = [
            delta for delta in self._deltas if delta.from_revision >= revision
        ]
        if not pending_deltas or pending_deltas[0].from_revision != revision:
            return None
        changes: dict[str, Overrides | None] = {}
        for delta in pending_deltas:
            changes.update(delta.changes)
        return replace(pending_deltas[-1], from_revision=revision, changes=changes)

    def _remember_delta(self, delta: Delta) -> None:
        self._deltas.append(delta)
        del self._deltas[:-MAX_DELTAS]

    def _replace_tree(self, tree: Tree) -> None:
        self._tree = tree
        self._leaves = {}


def apply_node_changes(
    nodes: dict[str, Overrides], changes: Changes
) -> dict[str, Overrides]:
    """Return a copy of `nodes` with `changes` applied."""
    changed = dict(nodes)
    for path, overrides in changes.items():
        if overrides is None:
            changed.pop(path, None)
        else:
            changed[path] = overrides
    return changed


def make_delta(old: Tree, new: Tree) -> Delta:
    """Return the delta that turns `old` into `new`."""
    changes: dict[str, Overrides | None] = {
        path: overrides
        for path, overrides in new.nodes.items()
        if old.nodes.get(path) != overrides
    }
    for path in old.nodes.keys() - new.nodes.keys():
        changes[path] = None
    return Delta(
        from_revision=old.revision,
        to_revision=new.revision,
        changes=changes,
        digest=new.digest,
    )
