"""Hold undispatched work by tier, fair between organisations within a tier."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.const import TIER_COUNT
from pistachiohaven.core import Work


def cost_tokens(work: Work) -> int:
    """Return the size of `work` in tokens, at least one."""
    return max(work.prefill_tokens + work.decode_tokens, 1)


@dataclass(slots=True, kw_only=True)
class Waiting:
    """Hold one undispatched request with its place in the fair order.

    `start_tag` is the virtual time of start-time fair queueing, in tokens by weight.
    It arrived at `arrived_ms` and may wait until `deadline_ms`.
    """

    work: Work
    arrived_ms: int
    deadline_ms: int
    start_tag: float


class _Lane:
    """Hold one tier: a queue for each organisation, served in fair order."""

    def __init__(self) -> None:
        self._queues: dict[str, deque[Waiting]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self.tokens = 0

    def __iter__(self) -> Iterator[Waiting]:
        for queue in self._queues.values():
            yield from queue

    def next_tag(self, organisation: str) -> float:
        """Return the start tag that the next request of `organisation` gets."""
        return max(self._virtual_time, self._finish_tags.get(organisation, 0.0))

    def push(self, work: Work, *, now_ms: int, allowance_ms: int) -> Waiting:
        start = self.next_tag(work.organisation)
        finish = start + cost_tokens(work) / work.weight
        self._finish_tags[work.organisation] = finish
        waiting = Waiting(
            work=work,
            arrived_ms=now_ms,
            deadline_ms=now_ms + allowance_ms,
            start_tag=start,
        )
        self._queues.setdefault(work.organisation, deque()).append(waiting)
        self.tokens += cost_tokens(work)
        return waiting

    def head(self) -> Waiting | None:
        heads = (queue[0] for queue in self._queues.values())
        return min(heads, key=lambda waiting: waiting.start_tag, default=None)

    def take(self, waiting: Waiting) -> None:
        """Remove `waiting` and move virtual time to its tag."""
        self._virtual_time = max(self._virtual_time, waiting.start_tag)
        self.remove(waiting)

    def remove(self, waiting: Waiting) -> None:
        organisation = waiting.work.organisation
        queue = self._queues[organisation]
        queue.remove(waiting)
        self.tokens -= cost_tokens(waiting.work)
        if not queue:
            del self._queues[organisation]
        if not self._queues:
            self._finish_tags.clear()
            self._virtual_time = 0.0

    def tokens_before(self, tag: float) -> int:
        """Return the tokens waiting ahead of a request tagged `tag`."""
        return sum(cost_tokens(item.work) for item in self if item.start_tag <= tag)

    def last_of_largest(self) -> Waiting | None:
        """Return the newest request of the organisation that waits with most."""
        if not self._queues:
            return None
        largest = max(
            self._queues.values(),
            key=lambda queue: sum(
                cost_tokens(item.work) / item.work.weight for item in queue
            ),
        )
        return largest[-1]


class TierQueue:
    """Hold waiting work in strict order of rank, fair within each rank."""

    def __init__(self) -> None:
        self._lanes = [_Lane() for _rank in range(TIER_COUNT)]
        self._by_id: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._by_id.values()))

    def get(self, request_id: str) -> Waiting | None:
        """Return the waiting request of this id."""
        return self._by_id.get(request_id)

    def push(self, work: Work, *, now_ms: int, allowance_ms: int) -> Waiting:
        """Put `work` at its place in the fair order, to wait `allowance_ms` at most."""
        lane = self._lanes[work.rank]
        waiting = lane.push(work, now_ms=now_ms, allowance_ms=allowance_ms)
        self._by_id[work.request_id] = waiting
        return waiting

    def heads(self) -> Iterator[Waiting]:
        """Yield the next request of each rank, most urgent first."""
        for lane in self._lanes:
            head = lane.head()
            if head is not None:
                yield head

    def take(self, waiting: Waiting) -> None:
        """Remove a request that is about to be dispatched."""
        self._lanes[waiting.work.rank].take(waiting)
        del self._by_id[waiting.work.request_id]

    def remove(self, waiting: Waiting) -> None:
        """Remove a request that will not be dispatched."""
        self._lanes[waiting.work.rank].remove(waiting)
        del self._by_id[waiting.work.request_id]

    def below(self, rank: int) -> list[Waiting]:
        """Return waiting work less urgent than `rank`, least urgent first."""
        lanes = reversed(self._lanes[rank + 1 :])
        return [waiting for lane in lanes for waiting in lane]

    def tokens_ahead(self, work: Work) -> int:
        """Return the tokens that would go before `work` if it came now."""
        higher = sum(lane.tokens for lane in self._lanes[: work.rank])
        lane = self._lanes[work.rank]
        return higher + lane.tokens_before(lane.next_tag(work.organisation))

    def total_tokens(self) -> int:
        """Return the tokens waiting in all."""
        return sum(lane.tokens for lane in self._lanes)

    def largest_share(self, rank: int) -> Waiting | None:
        """Return the newest request of the greediest organisation of `rank`."""
        return self._lanes[rank].last_of_largest()
