"""Tests of inheritance, validation issues and the order of revisions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiohaven.components.settings import (
    Acceptance,
    Overrides,
    SettingsStore,
    explain,
    make_delta,
    make_tree,
    parse_tree,
    resolve,
)

TREE = """\
revision: 7
settings:
  pool: draft
  weight: 3.0
organisations:
  laurentide:
    settings: {max_tokens: 64}
    applications:
      drafting:
        tiers:
          urgent:
            settings: {rank: 0}
"""
LEAF = "laurentide/drafting/urgent"


def test_leaf_inherits_from_every_level() -> None:
    """A level could be skipped when the settings of a leaf are resolved.

    The tier, the organisation and the root each set some of the values.
    """
    leaf = resolve(parse_tree(TREE).unwrap(), LEAF)
    assert leaf is not None
    assert (leaf.rank, leaf.max_tokens, leaf.weight, leaf.pool) == (0, 64, 3.0, "draft")


def test_explain_returns_the_node_that_sets_each_value() -> None:
    """A wrong path would send an operator to the wrong place of the file."""
    path_by_name = {
        item.name: item.path for item in explain(parse_tree(TREE).unwrap(), LEAF)
    }
    assert path_by_name["rank"] == LEAF
    assert path_by_name["max_tokens"] == "laurentide"
    assert path_by_name["pool"] == "(root)"
    assert path_by_name["retry_share"] == "(default)"


@pytest.mark.parametrize(
    ("old", "new", "line", "key"),
    [
        ("rank: 0", "rank: 4", 12, "tiers.urgent.settings.rank"),
        ("max_tokens: 64", "max_token: 64", 7, "laurentide.settings.max_token"),
        ("  weight: 3.0", "  weight: heavy", 4, "settings.weight"),
        ("  weight: 3.0", "  pool: other", 4, "pool"),
        ("  pool: draft\n", "", 10, "laurentide/drafting/urgent.pool"),
        ("revision: 7", "revision: [", 3, "(document)"),
    ],
)
def test_validation_issue_has_line_and_key(
    old: str, new: str, line: int, key: str
) -> None:
    """Pydantic errors have no line, so it is found from the parsed YAML nodes."""
    issues = parse_tree(TREE.replace(old, new)).unwrap_err()
    assert issues[0].line == line
    assert issues[0].key.endswith(key)


@pytest.mark.parametrize("text", ["", "[]", "a: &x [*x]", "revision: 1\n---\nb: 2"])
def test_malformed_file_is_rejected(text: str) -> None:
    """An empty file, a list, an alias and a second document are invalid."""
    assert parse_tree(text).is_err()


def test_older_revision_is_stale() -> None:
    """A stale read or peer must not undo a newer revision."""
    store = SettingsStore()
    newer = parse_tree(TREE).unwrap()
    older = parse_tree(TREE.replace("revision: 7", "revision: 6")).unwrap()
    assert store.accept_tree(newer) is Acceptance.ACCEPTED
    assert store.accept_tree(older) is Acceptance.STALE
    assert store.accept_tree(newer) is Acceptance.SAME
    assert store.revision == 7


def test_same_revision_with_other_content_is_corrupt() -> None:
    """Two trees with one revision number would let nodes disagree unnoticed."""
    store = SettingsStore()
    store.accept_tree(parse_tree(TREE).unwrap())
    other = parse_tree(TREE.replace("rank: 0", "rank: 1")).unwrap()
    assert store.accept_tree(other) is Acceptance.CORRUPT


NODES = st.dictionaries(
    st.sampled_from(["", "a", "a/b", "a/b/c", "d"]),
    st.builds(Overrides, rank=st.integers(0, 3), pool=st.sampled_from(["x", "y"])),
)


@given(st.lists(NODES, min_size=2, max_size=6), st.data())
def test_combined_delta_results_in_the_newest_tree(
    versions: list[dict[str, Overrides]], data: st.DataObject
) -> None:
    """A combined delta could lose changes of the revisions that it covers.

    A node that is one or more revisions behind applies it and has the newest tree.
    """
    trees = [
        make_tree(revision=number, nodes=nodes)
        for number, nodes in enumerate(versions, 1)
    ]
    ahead, behind = SettingsStore(), SettingsStore()
    start = data.draw(st.integers(0, len(trees) - 2))
    for tree in trees:
        ahead.accept_tree(tree)
    behind.accept_tree(trees[start])
    delta = ahead.delta_since(behind.revision)
    assert delta is not None
    assert behind.accept_delta(delta) is Acceptance.ACCEPTED
    assert behind.tree == trees[-1]


def test_delta_from_another_revision_is_a_gap() -> None:
    """Applied to a revision that it does not start from, a delta loses changes."""
    one, two, three = (make_tree(revision=n, nodes={}) for n in (1, 2, 3))
    store = SettingsStore()
    store.accept_tree(one)
    assert store.accept_delta(make_delta(two, three)) is Acceptance.GAP
    assert store.revision == 1
