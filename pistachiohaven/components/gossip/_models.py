"""Messages between nodes about the settings tree and the instance list."""

from dataclasses import dataclass

from pistachiohaven.components.membership import ListVersion
from pistachiohaven.components.settings import Delta, Overrides


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeVersions:
    """Versions of the settings and the instance list that a node has.

    `revision` and `digest` are those of the settings tree. `settings_as_of_ms` and
    `list_as_of_ms` are wall times of the platform's origin up to which the documents
    are known to be current. `serving` is True once the node has started to serve.
    """

    name: str
    serving: bool
    revision: int
    digest: str
    settings_as_of_ms: int
    list_version: int
    list_as_of_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FullTree:
    """Complete settings tree, for a node that cannot use a delta."""

    revision: int
    nodes: dict[str, Overrides]


@dataclass(frozen=True, slots=True, kw_only=True)
class GossipUpdate:
    """Newer documents for a peer; a document without a newer version is absent.

    `known` are the versions of the sender. Settings are either a `delta` or a `tree`;
    `versions` are versions of the instance list.
    """

    known: NodeVersions
    delta: Delta | None = None
    tree: FullTree | None = None
    versions: tuple[ListVersion, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncRequest:
    """Versions of the sender in `known`, with an update to push if there is one.

    The receiver responds with a GossipUpdate.
    """

    known: NodeVersions
    update: GossipUpdate | None = None
