"""Queue lengths that peers report."""

from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.components.exchange import short_hash

from .const import PEER_QUEUE_TTL_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class _PeerQueue:
    """Queue lengths of a peer, as (hash of the pool, rank, count)."""

    waiting: list[tuple[int, int, int]]
    reported_ms: int


class PeerQueues:
    """Newest report of each peer; its length is the number of peers that reported.

    Reports older than `PEER_QUEUE_TTL_MS` are ignored. Times are monotonic
    milliseconds.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _PeerQueue] = {}

    def __len__(self) -> int:
        return len(self._queues)

    def update(
        self, peer: str, waiting: list[tuple[int, int, int]], *, now_ms: int
    ) -> None:
        """Replace the queue lengths of `peer`: hash of the pool, rank, count."""
        self._queues[peer] = _PeerQueue(waiting=waiting, reported_ms=now_ms)

    def drop(self, peer: str) -> None:
        """Remove a peer that has ended."""
        self._queues.pop(peer, None)

    def requests_before(self, pool: str, rank: int, *, now_ms: int) -> int:
        """Return the number of waiting requests that are more urgent than `rank`."""
        return sum(
            count
            for _, other_rank, count in self._waiting(pool, now_ms=now_ms)
            if other_rank < rank
        )

    def requests(self, pool: str, *, now_ms: int) -> int:
        """Return the number of waiting requests of all ranks."""
        return sum(count for _, _, count in self._waiting(pool, now_ms=now_ms))

    def competitors(self, pool: str, rank: int, *, now_ms: int) -> list[str]:
        """Return the peers with waiting requests at least as urgent as `rank`."""
        names = {
            peer: None
            for peer, other_rank, _ in self._waiting(pool, now_ms=now_ms)
            if other_rank <= rank
        }
        return list(names)

    def oldest_age_ms(self, *, now_ms: int) -> int | None:
        """Return the age in ms of the oldest report that counts, None without any."""
        ages = [now_ms - queue.reported_ms for queue in self._queues.values()]
        return max((age for age in ages if age < PEER_QUEUE_TTL_MS), default=None)

    def _waiting(self, pool: str, *, now_ms: int) -> Iterator[tuple[str, int, int]]:
        """Yield peer, rank and count of the requests that wait for `pool`."""
        wanted_hash = short_hash(pool)
        for name, queue in self._queues.items():
            if now_ms - queue.reported_ms >= PEER_QUEUE_TTL_MS:
                continue
            for pool_hash, rank, count in queue.waiting:
                if pool_hash == wanted_hash:
                    yield name, rank, count
