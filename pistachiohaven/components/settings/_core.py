"""Resolve inheritance and let revisions only rise."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TypeAlias

import msgspec
import xxhash
from result import Err, Ok, Result

from ._models import (
    DEFAULTS,
    OVERRIDE_NAMES,
    Delta,
    Fault,
    Leaf,
    Overrides,
    OverridesModel,
    TreeModel,
)
from ._parse import parse_yaml
from .const import DELTAS_KEPT, MAX_TREE_BYTES, ROOT, SEPARATOR

Changes: TypeAlias = dict[str, Overrides | None]
"""What an edit changes, by path; None removes a node."""

LEAF_DEPTH = 3
"""Number of names in the path of a leaf: organisation, application, tier."""


class Acceptance(StrEnum):
    """Say what became of a revision that was offered to the store."""

    ACCEPTED = "accepted"
    SAME = "same"
    STALE = "stale"
    GAP = "gap"
    CORRUPT = "corrupt"


@dataclass(frozen=True, slots=True, kw_only=True)
class Origin:
    """Say which node of the tree a resolved value comes from."""

    name: str
    value: object
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Tree:
    """Hold one revision: what each node sets itself, by path."""

    revision: int
    nodes: dict[str, Overrides]
    digest: str


def _overrides(model: OverridesModel) -> Overrides:
    """Turn a checked model into plain data."""
    return Overrides(**model.model_dump(mode="json"))


def _node_hash(path: str, overrides: Overrides) -> int:
    """Return the content hash of one node."""
    content = msgspec.msgpack.encode(overrides)
    return xxhash.xxh3_64_intdigest(path.encode() + b"\x1f" + content)


def _digest(nodes: dict[str, Overrides]) -> str:
    """Return a hash over all nodes that does not depend on their order."""
    total = 0
    for path, overrides in nodes.items():
        total ^= _node_hash(path, overrides)
    return f"{total:016x}"


def changed_tree(tree: Tree, *, revision: int, changes: Changes) -> Tree:
    """Return `tree` with `changes` applied; only what changed is hashed anew."""
    total = int(tree.digest, 16)
    for path, overrides in changes.items():
        before = tree.nodes.get(path)
        total ^= 0 if before is None else _node_hash(path, before)
        total ^= 0 if overrides is None else _node_hash(path, overrides)
    nodes = apply_changes(tree.nodes, changes)
    return Tree(revision=revision, nodes=nodes, digest=f"{total:016x}")


def make_tree(*, revision: int, nodes: dict[str, Overrides]) -> Tree:
    """Return a tree with its digest worked out."""
    return Tree(revision=revision, nodes=nodes, digest=_digest(nodes))


def tree_from_model(model: TreeModel) -> Tree:
    """Flatten a checked document into nodes by path."""
    nodes = {ROOT: _overrides(model.settings)}
    for org_name, organisation in model.organisations.items():
        nodes[org_name] = _overrides(organisation.settings)
        for app_name, application in organisation.applications.items():
            app_path = org_name + SEPARATOR + app_name
            nodes[app_path] = _overrides(application.settings)
            for tier_name, tier in application.tiers.items():
                tier_path = app_path + SEPARATOR + tier_name
                nodes[tier_path] = _overrides(tier.settings)
    return make_tree(revision=model.revision, nodes=nodes)


def parse_tree(text: str) -> Result[Tree, list[Fault]]:
    """Read and check a tree as operators write it; faults refuse it whole."""
    if len(text.encode()) > MAX_TREE_BYTES:
        reason = f"larger than {MAX_TREE_BYTES} bytes"
        return Err([Fault(line=1, key="(document)", reason=reason)])
    parsed = parse_yaml(text, TreeModel)
    if isinstance(parsed, Err):
        return parsed
    tree = tree_from_model(parsed.ok_value)
    missing = [path for path in leaf_paths(tree) if resolve(tree, path) is None]
    if missing:
        return Err([_missing_pool(text, path) for path in missing])
    return Ok(tree)


def _missing_pool(text: str, path: str) -> Fault:
    """Return the fault of a leaf that inherits no pool."""
    tier = path.rsplit(SEPARATOR, 1)[1]
    lines = text.splitlines()
    found = (
        number for number, line in enumerate(lines, 1) if line.strip(" :{}") == tier
    )
    reason = "no node above this leaf sets a pool"
    return Fault(line=next(found, 1), key=f"{path}.pool", reason=reason)


def leaf_paths(tree: Tree) -> list[str]:
    """Return the paths of all leaves, sorted."""
    deep = LEAF_DEPTH - 1
    return sorted(path for path in tree.nodes if path.count(SEPARATOR) == deep)


def _ancestry(path: str) -> list[str]:
    """Return the path, its ancestors and the root, nearest first."""
    names = path.split(SEPARATOR)
    paths = [SEPARATOR.join(names[:end]) for end in range(len(names), 0, -1)]
    return [*paths, ROOT]


def explain(tree: Tree, path: str) -> list[Origin]:
    """Return each resolved value of `path` with the node that sets it."""
    origins: list[Origin] = []
    for name in OVERRIDE_NAMES:
        for node_path in _ancestry(path):
            node = tree.nodes.get(node_path)
            value = None if node is None else getattr(node, name)
            if value is not None:
                shown = node_path or "(root)"
                origins.append(Origin(name=name, value=value, path=shown))
                break
        else:
            value = getattr(DEFAULTS, name)
            origins.append(Origin(name=name, value=value, path="(default)"))
    return origins


def resolve(tree: Tree, path: str) -> Leaf | None:
    """Return the leaf at `path`, or None if it is no leaf or has no pool."""
    if path not in tree.nodes or path.count(SEPARATOR) != LEAF_DEPTH - 1:
        return None
    values = {origin.name: origin.value for origin in explain(tree, path)}
    if values["pool"] is None:
        return None
    return Leaf(path=path, **values)  # type: ignore[arg-type]


class SettingsStore:
    """Hold the tree in force; its revision only rises."""

    def __init__(self) -> None:
        self._tree: Tree | None = None
        self._leaves: dict[str, Leaf | None] = {}
        self._deltas: list[Delta] = []

    @property
    def tree(self) -> Tree | None:
        """Return the tree in force, or None before the first one."""
        return self._tree

    @property
    def revision(self) -> int:
        """Return the revision in force; 0 before the first one."""
        return 0 if self._tree is None else self._tree.revision

    @property
    def digest(self) -> str:
        """Return the digest of the tree in force; empty before the first one."""
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
        """Take in a whole tree if its revision is newer."""
        if tree.revision == self.revision:
            same = tree.digest == self.digest
            return Acceptance.SAME if same else Acceptance.CORRUPT
        if tree.revision < self.revision:
            return Acceptance.STALE
        if self._tree is not None:
            self._remember(difference(self._tree, tree))
        self._put(tree)
        return Acceptance.ACCEPTED

    def accept_delta(self, delta: Delta) -> Acceptance:
        """Take in a delta that starts at the revision in force."""
        if delta.to_revision <= self.revision:
            return Acceptance.STALE
        if self._tree is None or delta.from_revision != self.revision:
            return Acceptance.GAP
        tree = changed_tree(
            self._tree, revision=delta.to_revision, changes=delta.changes
        )
        if tree.digest != delta.digest:
            return Acceptance.CORRUPT
        self._remember(delta)
        self._put(tree)
        return Acceptance.ACCEPTED

    def delta_since(self, revision: int) -> Delta | None:
        """Return one delta from `revision` to the one in force, if it is known."""
        if self._tree is None:
            return None
        tail = [delta for delta in self._deltas if delta.from_revision >= revision]
        if not tail or tail[0].from_revision != revision:
            return None
        changes: dict[str, Overrides | None] = {}
        for delta in tail:
            changes.update(delta.changes)
        return replace(tail[-1], from_revision=revision, changes=changes)

    def _remember(self, delta: Delta) -> None:
        self._deltas.append(delta)
        del self._deltas[:-DELTAS_KEPT]

    def _put(self, tree: Tree) -> None:
        self._tree = tree
        self._leaves = {}


def apply_changes(
    nodes: dict[str, Overrides], changes: Changes
) -> dict[str, Overrides]:
    """Return `nodes` with `changes` applied."""
    changed = dict(nodes)
    for path, overrides in changes.items():
        if overrides is None:
            changed.pop(path, None)
        else:
            changed[path] = overrides
    return changed


def difference(old: Tree, new: Tree) -> Delta:
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
