"""Choose the few targets of a pool that one entry works with."""

from collections.abc import Sequence

from pistachiohaven.core import Instance
from pistachiohaven.helpers import rendezvous_order


def choose_subset(
    *, entry: str, pool: str, candidates: Sequence[Instance], size: int
) -> list[Instance]:
    """Return up to `size` candidates for `entry`, spread over data centres.

    Each data centre's candidates are ranked by rendezvous weight, then taken in turn.
    A change of the list moves only the changed instances, and one data centre's loss
    leaves the others' share in place.
    """
    if len(candidates) <= size:
        return list(candidates)
    by_name = {item.name: item for item in candidates}
    columns: dict[str, list[str]] = {}
    for name in rendezvous_order(f"{entry}/{pool}", by_name):
        columns.setdefault(by_name[name].data_centre, []).append(name)
    chosen: list[Instance] = []
    depth = 0
    while len(chosen) < size:
        for column in columns.values():
            if depth < len(column) and len(chosen) < size:
                chosen.append(by_name[column[depth]])
        depth += 1
    return chosen
