"""Choice of the entry that gets a freed slot."""

import random
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Most urgent rank of the requests that wait at `peer`, and their number."""

    peer: str
    rank: int
    count: int


def choose_claimant(
    claims: Sequence[Claim],
    *,
    own_rank: int | None,
    own_count: int,
    rng: random.Random,
) -> Claim | None:
    """Return the claim that gets a slot, None for the own request.

    `own_rank` is that of the own request, None without one, and `own_count` the number
    of own requests of this rank. The most urgent rank goes first. Within a rank, the
    own request goes first unless fewer wait here than at the average claimant; then a
    claimant with more is drawn by the length of its queue. So the queues become equally
    long, and few slots change hands.
    """
    best_rank = min((claim.rank for claim in claims), default=None)
    if best_rank is None or (own_rank is not None and own_rank < best_rank):
        return None
    candidates = [claim for claim in claims if claim.rank == best_rank]
    if own_rank == best_rank:
        waiting = own_count + sum(claim.count for claim in candidates)
        if own_count * (len(candidates) + 1) >= waiting:
            return None
        candidates = [claim for claim in candidates if claim.count > own_count]
    weights = [claim.count for claim in candidates]
    return rng.choices(candidates, weights=weights)[0]
