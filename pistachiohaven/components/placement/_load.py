"""Estimate how busy and how fast one target is."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from pistachiohaven.components.fleet import Target
from pistachiohaven.helpers import Ewma

from ._job import Job
from .const import (
    CACHE_SHARE,
    CACHE_TTL_MS,
    DEFAULT_PREFILL_TOKENS_PER_MS,
    DEFAULT_SERVICE_MS,
    DEFAULT_TOKEN_MS,
    FAILURE_PENALTY,
    FAILURE_SHARE,
    FIRST_BYTE_OVERHEAD_MS,
    FULL_MS,
    LEARN_SHARE,
    MIN_SAMPLE_EVENTS,
    MIN_SAMPLE_TOKENS,
    OWN_FREED_MS,
    PEER_LOAD_MS,
    SPEED_BOUNDS,
    SUSPECT_MAX_MS,
    SUSPECT_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoad:
    """Hold what another entry has running on a target and the pace it found."""

    running: int
    prefill_tokens: int
    token_ms: float | None
    prefill_rate: float | None
    at_ms: int


@dataclass(slots=True, kw_only=True)
class _Running:
    job: Job
    sent_ms: int
    prefill_tokens: int
    alone: bool
    first_ms: int | None = None


class TargetLoad:
    """Hold one incarnation of a target, its work and what it has shown."""

    def __init__(self, *, target: Target, engine: bool, cache_tokens: int) -> None:
        self.target = target
        self._engine = engine
        self._cache_limit = int(cache_tokens * CACHE_SHARE)
        self._cache: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._cache_tokens = 0
        self._running: dict[str, _Running] = {}
        self._peers: dict[str, PeerLoad] = {}
        self._token_ms = Ewma(share=LEARN_SHARE)
        self._prefill_rate = Ewma(share=LEARN_SHARE)
        self._service_ms = Ewma(share=LEARN_SHARE)
        self._failed = Ewma(share=FAILURE_SHARE)
        self._failures_in_row = 0
        self._excluded_until_ms = 0
        self._proving = False
        self._freed_ms: deque[int] = deque()

    # Facts

    @property
    def own_running(self) -> int:
        """Return the requests that this entry has at the target."""
        return len(self._running)

    def own_prefill_tokens(self) -> int:
        """Return the prompt tokens sent from here that have shown no event yet."""
        return sum(
            each.prefill_tokens
            for each in self._running.values()
            if each.first_ms is None
        )

    def running(self, *, now_ms: int) -> int:
        """Return the requests at the target, as far as known."""
        return self.own_running + sum(
            peer.running for peer in self._fresh_peers(now_ms=now_ms)
        )

    def take_peer(self, peer: str, load: PeerLoad) -> None:
        """Take in what `peer` has running here."""
        self._peers[peer] = load

    def update_peer(
        self, peer: str, *, running: int, prefill_tokens: int, now_ms: int
    ) -> None:
        """Take in what `peer` has running here now; its pace stays as told before."""
        known = self._peers.get(peer)
        if known is None and not running:
            return
        self._peers[peer] = PeerLoad(
            running=running,
            prefill_tokens=prefill_tokens,
            token_ms=known.token_ms if known else None,
            prefill_rate=known.prefill_rate if known else None,
            at_ms=now_ms,
        )

    def drop_peer(self, peer: str) -> None:
        """Forget what `peer` had running here."""
        self._peers.pop(peer, None)

    @property
    def own_token_ms(self) -> float | None:
        """Return the milliseconds of one output token as seen here, if known."""
        return self._token_ms.value

    @property
    def own_prefill_rate(self) -> float | None:
        """Return the prompt tokens read in a millisecond as seen here, if known."""
        return self._prefill_rate.value

    @property
    def token_ms(self) -> float:
        """Return the milliseconds of one output token, from peers if need be."""
        if self._token_ms.value is not None:
            return self._token_ms.value
        told = [peer.token_ms for peer in self._peers.values() if peer.token_ms]
        return sum(told) / len(told) if told else DEFAULT_TOKEN_MS

    @property
    def service_ms(self) -> float:
        """Return the milliseconds that a request takes here."""
        return self._service_ms.get(DEFAULT_SERVICE_MS)

    @property
    def failed_share(self) -> float:
        """Return the share of recent requests that failed."""
        return self._failed.get(0.0)

    @property
    def suspect(self) -> bool:
        """Return True if the last request failed and none has succeeded since."""
        return self._failures_in_row > 0

    # Choice

    def has_room(self, *, now_ms: int) -> bool:
        """Return True if a request sent now would start at once."""
        if self.target.leaving or now_ms < self._excluded_until_ms:
            return False
        if self._proving:
            return self.own_running == 0
        return self.running(now_ms=now_ms) < self.target.slots

    def free(self, *, now_ms: int) -> int:
        """Return how many requests could start at once."""
        if not self.has_room(now_ms=now_ms):
            return 0
        return self.target.slots - self.running(now_ms=now_ms)

    def own_freed(self, *, now_ms: int) -> int:
        """Return the places that came free here so lately that no peer may know."""
        while self._freed_ms and now_ms - self._freed_ms[0] >= OWN_FREED_MS:
            self._freed_ms.popleft()
        return len(self._freed_ms)

    def usable(self, *, now_ms: int) -> bool:
        """Return True if the target is neither leaving nor left out."""
        return not self.target.leaving and now_ms >= self._excluded_until_ms

    def excluded_until_ms(self) -> int:
        """Return when the target may be tried again."""
        return self._excluded_until_ms

    def expected_ms(self, job: Job, *, now_ms: int) -> float:
        """Return how long `job` would take here, lengthened by recent failures."""
        penalty = 1.0 + FAILURE_PENALTY * self.failed_share
        busy = self.running(now_ms=now_ms) / self.target.slots
        if not self._engine:
            return self.service_ms * (1.0 + busy) * penalty
        backlog = self.own_prefill_tokens() + sum(
            peer.prefill_tokens for peer in self._fresh_peers(now_ms=now_ms)
        )
        wanted = backlog + self._uncached(job, now_ms=now_ms)
        first_ms = FIRST_BYTE_OVERHEAD_MS + wanted / self._rate()
        return (first_ms + job.output_tokens * self.token_ms * (1.0 + busy)) * penalty

    def first_event_ms(self, job: Job, *, now_ms: int) -> float:
        """Return how long the first event of `job` would take here."""
        if not self._engine:
            return self.service_ms
        backlog = self.own_prefill_tokens() + self._uncached(job, now_ms=now_ms)
        return FIRST_BYTE_OVERHEAD_MS + backlog / self._rate()

    # Events

    def sent(self, job: Job, *, now_ms: int) -> None:
        """Note that `job` was sent here."""
        tokens = self._uncached(job, now_ms=now_ms)
        alone = self.own_prefill_tokens() == 0
        if self._freed_ms:
            self._freed_ms.popleft()
        self._running[job.request_id] = _Running(
            job=job, sent_ms=now_ms, prefill_tokens=tokens, alone=alone
        )
        self._remember(job, now_ms=now_ms)

    def first_event(self, request_id: str, *, now_ms: int) -> None:
        """Note that the first event of a request came."""
        running = self._running.get(request_id)
        if running is None or running.first_ms is not None:
            return
        running.first_ms = now_ms
        spent_ms = now_ms - running.sent_ms - FIRST_BYTE_OVERHEAD_MS
        if running.alone and running.prefill_tokens >= MIN_SAMPLE_TOKENS:
            rate = running.prefill_tokens / max(spent_ms, 1.0)
            low, high = (
                bound * DEFAULT_PREFILL_TOKENS_PER_MS for bound in SPEED_BOUNDS
            )
            self._prefill_rate.add(min(max(rate, low), high))

    def ended(self, request_id: str, *, events: int, tokens: int, now_ms: int) -> None:
        """Note that a request was answered whole; `tokens` were generated."""
        running = self._running.pop(request_id, None)
        self._freed_ms.append(now_ms)
        self._failures_in_row = 0
        self._proving = False
        self._failed.add(0.0)
        if running is None:
            return
        self._service_ms.add(max(now_ms - running.sent_ms, 1))
        if running.first_ms is not None and events >= MIN_SAMPLE_EVENTS and tokens:
            sample = (now_ms - running.first_ms) / tokens
            low, high = (bound * DEFAULT_TOKEN_MS for bound in SPEED_BOUNDS)
            self._token_ms.add(min(max(sample, low), high))

    def left(self, request_id: str) -> None:
        """Note that a request ended here for a reason that is not the target's."""
        self._running.pop(request_id, None)

    def failed(self, request_id: str, *, alive: bool, now_ms: int) -> None:
        """Note that a request failed; `alive` means that the target answered."""
        self._running.pop(request_id, None)
        self._failed.add(1.0)
        if not alive:
            self.silent(now_ms=now_ms)

    def silent(self, *, now_ms: int) -> None:
        """Note that the target does not answer; it is left out and then tried."""
        pause_ms = min(SUSPECT_MS << self._failures_in_row, SUSPECT_MAX_MS)
        if now_ms >= self._excluded_until_ms:
            self._failures_in_row = min(self._failures_in_row + 1, 8)
            self._excluded_until_ms = now_ms + pause_ms
        self._proving = True

    def heard(self, *, now_ms: int) -> None:
        """Note that a target which was silent has sent something."""
        self._failures_in_row = 0
        self._excluded_until_ms = now_ms
        self._proving = False

    def full(self, request_id: str, *, now_ms: int) -> None:
        """Note that the target refused a request as full."""
        self._running.pop(request_id, None)
        self._excluded_until_ms = max(self._excluded_until_ms, now_ms + FULL_MS)

    # Inner

    def _fresh_peers(self, *, now_ms: int) -> list[PeerLoad]:
        return [
            peer for peer in self._peers.values() if now_ms - peer.at_ms < PEER_LOAD_MS
        ]

    def _rate(self) -> float:
        """Return the prompt tokens read in a millisecond."""
        if self._prefill_rate.value is not None:
            return self._prefill_rate.value
        told = [peer.prefill_rate for peer in self._peers.values() if peer.prefill_rate]
        if told:
            return sum(told) / len(told)
        speed = DEFAULT_TOKEN_MS / self.token_ms
        return DEFAULT_PREFILL_TOKENS_PER_MS * speed

    def _uncached(self, job: Job, *, now_ms: int) -> int:
        """Return the prompt tokens that the target would have to read."""
        known = self._cache.get(job.part) if job.part else None
        if known is None or now_ms - known[1] > CACHE_TTL_MS:
            return max(job.prompt_tokens, 1)
        return max(job.prompt_tokens - known[0], 1)

    def _remember(self, job: Job, *, now_ms: int) -> None:
        if not job.part:
            return
        old = self._cache.pop(job.part, None)
        self._cache_tokens += job.prompt_tokens - (old[0] if old else 0)
        self._cache[job.part] = (job.prompt_tokens, now_ms)
        while self._cache_tokens > self._cache_limit and self._cache:
            _, (tokens, _) = self._cache.popitem(last=False)
            self._cache_tokens -= tokens
