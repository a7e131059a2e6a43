"""Describe what nodes tell each other about published documents."""

from dataclasses import dataclass

from pistachiohaven.components.membership import ListVersion
from pistachiohaven.components.settings import Delta, Overrides


@dataclass(frozen=True, slots=True, kw_only=True)
class Known:
    """Say how far a node knows both documents; stamps are the origin's."""

    name: str
    serving: bool
    revision: int
    digest: str
    settings_as_of_ms: int
    list_version: int
    list_as_of_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FullTree:
    """Carry a whole tree to a node that cannot use a delta."""

    revision: int
    nodes: dict[str, Overrides]


@dataclass(frozen=True, slots=True, kw_only=True)
class GossipUpdate:
    """Carry what a peer lacks; absent parts are not newer here."""

    known: Known
    delta: Delta | None = None
    tree: FullTree | None = None
    versions: tuple[ListVersion, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Sync:
    """Compare with a peer, and bring it what the sender just learnt."""

    known: Known
    update: GossipUpdate | None = None
