"""Simulated model engine that runs under the virtual clock."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from pistachiohaven.core import Work

STEP_MS = 20
"""Interval between two steps of a fake engine."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpeed:
    """Speed and capacity of one engine.

    `token_ms` and `token_ms_per_stream` give the time of one decoding step, which
    grows with the batch. The prefix cache holds `cache_prefixes` prompt prefixes.
    """

    prefill_tokens_per_ms: float
    token_ms: float
    token_ms_per_stream: float
    max_batch: int
    cache_prefixes: int

    def tokens_per_ms(self) -> float:
        """Return the number of tokens that a full batch decodes per millisecond."""
        step_ms = self.token_ms + self.token_ms_per_stream * self.max_batch
        return self.max_batch / step_ms


@dataclass(slots=True, kw_only=True)
class Stream:
    """Request that waits or runs in an engine."""

    work: Work
    output_tokens: int
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    remaining_prefill_tokens: float = 0.0
    prefilled_tokens: float = 0.0
    decoded_tokens: float = 0.0
    has_started: bool = False


class FakeEngine:
    """Model engine that batches continuously.

    It admits requests in arrival order, prefills them one after the other and decodes
    all streams of the batch at the same time.
    """

    def __init__(self, *, speed: EngineSpeed) -> None:
        self.speed = speed
        self.prefilled_tokens = 0.0
        self._waiting: list[Stream] = []
        self._batch: list[Stream] = []
        self._cache: OrderedDict[str, None] = OrderedDict()

    def add(self, stream: Stream) -> None:
        """Append a request to the engine's queue."""
        self._waiting.append(stream)

    def cancel(self, request_id: str) -> float:
        """Remove a request and return the number of its tokens already prefilled."""
        for streams in (self._waiting, self._batch):
            for stream in streams:
                if stream.work.request_id == request_id:
                    streams.remove(stream)
                    return stream.prefilled_tokens
        return 0.0

    def step(self) -> None:
        """Simulate the work of `STEP_MS` milliseconds."""
        self._admit()
        self._prefill()
        self._decode()

    def _admit(self) -> None:
        while self._waiting and len(self._batch) < self.speed.max_batch:
            stream = self._waiting.pop(0)
            is_cached = self._use_cache(stream.work.prefix)
            stream.remaining_prefill_tokens = (
                0.0 if is_cached else float(stream.work.prefill_tokens)
            )
            self._batch.append(stream)

    def _use_cache(self, prefix: str) -> bool:
        """Return True if `prefix` was cached, and mark it as most recently used."""
        if not prefix:
            return False
        was_cached = prefix in self._cache
        self._cache.pop(prefix, None)
        self._cache[prefix] = None
        if len(self._cache) > self.speed.cache_prefixes:
            self._cache.popitem(last=False)
        return was_cached

    def _prefill(self) -> None:
        available_tokens = self.speed.prefill_tokens_per_ms * STEP_MS
        for stream in self._batch:
            tokens = min(available_tokens, stream.remaining_prefill_tokens)
            stream.remaining_prefill_tokens -= tokens
            stream.prefilled_tokens += tokens
            self.prefilled_tokens += tokens
            available_tokens -= tokens

    def _decode(self) -> None:
        decoding = [item for item in self._batch if item.remaining_prefill_tokens <= 0]
        if not decoding:
            return
        step_ms = self.speed.token_ms + self.speed.token_ms_per_stream * len(decoding)
        for stream in decoding:
            stream.decoded_tokens += STEP_MS / step_ms
            if not stream.has_started and stream.decoded_tokens >= 1:
                stream.has_started = True
                stream.on_first_token()
        finished_streams = [
            item for item in decoding if item.decoded_tokens >= item.output_tokens
        ]
        for stream in finished_streams:
            if stream in self._batch:
                self._batch.remove(stream)
                stream.on_end()
