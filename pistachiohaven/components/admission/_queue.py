"""Queues of undispatched work: strict between tiers, fair between organisations."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.const import TIER_COUNT
from pistachiohaven.core import Work


def cost_tokens(work: Work) -> int:
    """Return the prompt and response tokens of `work`, at least one."""
    return max(work.prefill_tokens + work.decode_tokens, 1)


@dataclass(slots=True, kw_only=True)
class WaitingRequest:
    """Undispatched request with its position in the fair order.

    `start_tag` is its virtual start time of start-time fair queueing, in tokens
    divided by weight. `arrived_ms` and `deadline_ms`, the end of its wait, are
    monotonic.
    """

    work: Work
    arrived_ms: int
    deadline_ms: int
    start_tag: float


class _FairQueue:
    """Start-time fair queue of one tier, with a FIFO queue per organisation."""

    def __init__(self) -> None:
        self._queues: dict[str, deque[WaitingRequest]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self.tokens = 0

    def __iter__(self) -> Iterator[WaitingRequest]:
        for queue in self._queues.values():
            yield from queue

    def next_start_tag(self, organisation: str) -> float:
        """Return the start tag of the next request of `organisation`."""
        return max(self._virtual_time, self._finish_tags.get(organisation, 0.0))

    def push(self, work: Work, *, now_ms: int, max_wait_ms: int) -> WaitingRequest:
        start_tag = self.next_start_tag(work.organisation)
        finish_tag = start_tag + cost_tokens(work) / work.weight
        self._finish_tags[work.organisation] = finish_tag
        waiting = WaitingRequest(
            work=work,
            arrived_ms=now_ms,
            deadline_ms=now_ms + max_wait_ms,
            start_tag=start_tag,
        )
        self._queues.setdefault(work.organisation, deque()).append(waiting)
        self.tokens += cost_tokens(work)
        return waiting

    def head(self) -> WaitingRequest | None:
        heads = (queue[0] for queue in self._queues.values())
        return min(heads, key=lambda waiting: waiting.start_tag, default=None)

    def dequeue(self, waiting: WaitingRequest) -> None:
        """Remove `waiting` and advance the virtual time to its start tag."""
        self._virtual_time = max(self._virtual_time, waiting.start_tag)
        self.remove(waiting)

    def remove(self, waiting: WaitingRequest) -> None:
        organisation = waiting.work.organisation
        queue = self._queues[organisation]
        queue.remove(waiting)
        self.tokens -= cost_tokens(waiting.work)
        if not queue:
            del self._queues[organisation]
        if not self._queues:
            self._finish_tags.clear()
            self._virtual_time = 0.0

    def tokens_ahead_of(self, start_tag: float) -> int:
        """Return the tokens queued ahead of a request with `start_tag`."""
        return sum(
            cost_tokens(item.work) for item in self if item.start_tag <= start_tag
        )

    def newest_of_largest(self) -> WaitingRequest | None:
        """Return the newest request of the organisation with the most tokens queued.

        Tokens are divided by the weight of their request.
        """
        if not self._queues:
            return None
        largest_queue = max(
            self._queues.values(),
            key=lambda queue: sum(
                cost_tokens(item.work) / item.work.weight for item in queue
            ),
        )
        return largest_queue[-1]


class TierQueue:
    """Queue of waiting work in strict order of rank, fair within each rank."""

    def __init__(self) -> None:
        self._queues_by_rank = [_FairQueue() for _rank in range(TIER_COUNT)]
        self._by_id: dict[str, WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._by_id.values()))

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return the waiting request with this id, or None."""
        return self._by_id.get(request_id)

    def push(self, work: Work, *, now_ms: int, max_wait_ms: int) -> WaitingRequest:
        """Add `work` to the queue of its rank; it may wait `max_wait_ms`."""
        queue = self._queues_by_rank[work.rank]
        waiting = queue.push(work, now_ms=now_ms, max_wait_ms=max_wait_ms)
        self._by_id[work.request_id] = waiting
        return waiting

    def heads(self) -> Iterator[WaitingRequest]:
        """Yield the next request of each rank, most urgent rank first."""
        for queue in self._queues_by_rank:
            head = queue.head()
            if head is not None:
                yield head

    def dequeue(self, waiting: WaitingRequest) -> None:
        """Remove a request in order to dispatch it."""
        self._queues_by_rank[waiting.work.rank].dequeue(waiting)
        del self._by_id[waiting.work.request_id]

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request without dispatching it."""
        self._queues_by_rank[waiting.work.rank].remove(waiting)
        del self._by_id[waiting.work.request_id]

    def less_urgent_than(self, rank: int) -> list[WaitingRequest]:
        """Return waiting work less urgent than `rank`, least urgent first."""
        queues = reversed(self._queues_by_rank[rank + 1 :])
        return [waiting for queue in queues for waiting in queue]

    def tokens_ahead(self, work: Work) -> int:
        """Return the tokens that are queued ahead of `work` if it arrives now."""
        more_urgent_tokens = sum(
            queue.tokens for queue in self._queues_by_rank[: work.rank]
        )
        queue = self._queues_by_rank[work.rank]
        return more_urgent_tokens + queue.tokens_ahead_of(
            queue.next_start_tag(work.organisation)
        )

    def total_tokens(self) -> int:
        """Return the tokens queued in all ranks."""
        return sum(queue.tokens for queue in self._queues_by_rank)

    def newest_of_largest(self, rank: int) -> WaitingRequest | None:
        """Return the newest request of the organisation with most queued at `rank`."""
        return self._queues_by_rank[rank].newest_of_largest()
