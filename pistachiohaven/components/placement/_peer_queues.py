"""Queue lengths that peers report."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.handover import Claim
from pistachiohaven.components.handover.const import CLAIM_TTL_MS
from pistachiohaven.helpers import Ewma

from .const import PEER_QUEUE_TTL_MS, REPORT_GAP_EWMA_WEIGHT, REPORT_GAP_FACTOR


@dataclass(frozen=True, slots=True, kw_only=True)
class _PeerQueue:
    """Queue lengths of a peer, as (hash of the pool, rank, count).

    It `takes_offers` if it knows the messages that hand over slots.
    """

    waiting: list[tuple[int, int, int]]
    reported_ms: int
    takes_offers: bool


class PeerQueues:
    """Newest report of each peer; its length is the number of peers that reported.

    Reports older than `PEER_QUEUE_TTL_MS` are ignored. Times are monotonic
    milliseconds.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _PeerQueue] = {}
        self._last_report_ms: dict[str, int] = {}
        self._report_gap_ms = Ewma(weight=REPORT_GAP_EWMA_WEIGHT)

    def __len__(self) -> int:
        return len(self._queues)

    def update(
        self,
        peer: str,
        waiting: list[tuple[int, int, int]],
        *,
        takes_offers: bool = False,
        now_ms: int,
    ) -> None:
        """Replace the queue lengths of `peer`: hash of the pool, rank, count."""
        last_report_ms = self._last_report_ms.get(peer)
        if last_report_ms is not None:
            self._report_gap_ms.add(min(now_ms - last_report_ms, CLAIM_TTL_MS))
        self._last_report_ms[peer] = now_ms
        self._queues[peer] = _PeerQueue(
            waiting=waiting, reported_ms=now_ms, takes_offers=takes_offers
        )

    def update_claims(
        self, peer: str, waiting: list[tuple[int, int, int]], *, now_ms: int
    ) -> None:
        """Replace the queue lengths of `peer` between two of its reports."""
        self._queues[peer] = _PeerQueue(
            waiting=waiting, reported_ms=now_ms, takes_offers=True
        )

    def handover_delay_ms(self) -> float:
        """Return for how long a slot has to seem free before it is nobody's.

        Slots change hands between the reports of two peers, so each of them must have
        reported in the meantime. The time is 0 if no peer hands slots over.
        """
        if not any(queue.takes_offers for queue in self._queues.values()):
            return 0.0
        return REPORT_GAP_FACTOR * self._report_gap_ms.get(0.0)

    def handover_peers(self) -> list[str]:
        """Return the peers that know the messages that hand over slots."""
        return [peer for peer, queue in self._queues.items() if queue.takes_offers]

    def claims(
        self, pool: str, *, max_rank: int, excluded: set[str], now_ms: int
    ) -> list[Claim]:
        """Return what each peer may claim of the freed slots of `pool`.

        Peers in `excluded` and those without a request of `max_rank` or above have no
        claim.
        """
        wanted_hash = short_hash(pool)
        claims: list[Claim] = []
        for peer, queue in self._queues.items():
            if (
                not queue.takes_offers
                or peer in excluded
                or now_ms - queue.reported_ms >= CLAIM_TTL_MS
            ):
                continue
            best = min(
                (
                    (rank, count)
                    for pool_hash, rank, count in queue.waiting
                    if pool_hash == wanted_hash and count > 0 and rank <= max_rank
                ),
                default=None,
            )
            if best is not None:
                claims.append(Claim(peer=peer, rank=best[0], count=best[1]))
        return claims

    def record_offer(self, pool: str, claim: Claim) -> None:
        """Reduce a claim by one slot until the next report of its peer."""
        queue = self._queues[claim.peer]
        wanted_hash = short_hash(pool)
        queue.waiting[:] = [
            (pool_hash, rank, count - (pool_hash == wanted_hash and rank == claim.rank))
            for pool_hash, rank, count in queue.waiting
        ]

    def drop_claims(self, peer: str) -> None:
        """Ignore the queue of a peer that does not reply until its next report."""
        queue = self._queues.get(peer)
        if queue is not None:
            queue.waiting.clear()

    def drop(self, peer: str) -> None:
        """Remove a peer that has ended."""
        self._queues.pop(peer, None)
        self._last_report_ms.pop(peer, None)

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

    def requests_by_rank(self, pool: str, *, now_ms: int) -> Counter[int]:
        """Return the number of waiting requests of each rank."""
        counts: Counter[int] = Counter()
        for _, rank, count in self._waiting(pool, now_ms=now_ms):
            counts[rank] += count
        return counts

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
