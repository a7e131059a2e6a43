"""Choice of the subset of targets that an entry uses in a pool."""

from collections.abc import Sequence

from pistachiohaven.core import Instance
from pistachiohaven.helpers import rendezvous_order


def choose_subset(
    *, entry: str, pool: str, candidates: Sequence[Instance], size: int
) -> list[Instance]:
    """Return up to `size` candidates for `entry`, spread over data centres.

    The candidates of each data centre are ordered by rendezvous hashing, and the data
    centres take turns. A change of the list therefore replaces only the changed
    instances, and the loss of a data centre does not change the choice in the others.
    """
    if len(candidates) <= size:
        return list(candidates)
    by_name = {item.name: item for item in candidates}
    names_by_data_centre: dict[str, list[str]] = {}
    for name in rendezvous_order(f"{entry}/{pool}", by_name):
        names_by_data_centre.setdefault(by_name[name].data_centre, []).append(name)
    chosen: list[Instance] = []
    position = 0
    while len(chosen) < size:
        for names in names_by_data_centre.values():
            if position < len(names) and len(chosen) < size:
                chosen.append(by_name[names[position]])
        position += 1
    return chosen
