"""Stand in for a model engine under the virtual clock."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from pistachiohaven.core import Work

STEP_MS = 20
"""Time between two steps of a fake engine."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpeed:
    """Hold what one engine can do; `cache_prefixes` prompts' prefixes fit."""

    prefill_tokens_per_ms: float
    token_ms: float
    token_ms_per_stream: float
    max_batch: int
    cache_prefixes: int

    def tokens_per_ms(self) -> float:
        """Return the tokens a full batch decodes per millisecond."""
        step_ms = self.token_ms + self.token_ms_per_stream * self.max_batch
        return self.max_batch / step_ms


@dataclass(slots=True, kw_only=True)
class Stream:
    """Hold one request inside an engine."""

    work: Work
    output_tokens: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    prefill_left: float = 0.0
    prefill_spent: float = 0.0
    decoded: float = 0.0
    began: bool = False


class FakeEngine:
    """Admit in arrival order, prefill in order, decode all streams of the batch."""

    def __init__(self, *, speed: EngineSpeed) -> None:
        self.speed = speed
        self.prefill_spent = 0.0
        self._waiting: list[Stream] = []
        self._batch: list[Stream] = []
        self._cache: OrderedDict[str, None] = OrderedDict()

    def add(self, stream: Stream) -> None:
        """Take in a request at the end of the engine's queue."""
        self._waiting.append(stream)

    def cancel(self, request_id: str) -> float:
        """Drop a request and return the prefill it had been given."""
        for streams in (self._waiting, self._batch):
            for stream in streams:
                if stream.work.request_id == request_id:
                    streams.remove(stream)
                    return stream.prefill_spent
        return 0.0

    def step(self) -> None:
        """Work for one step."""
        self._admit()
        self._prefill()
        self._decode()

    def _admit(self) -> None:
        while self._waiting and len(self._batch) < self.speed.max_batch:
            stream = self._waiting.pop(0)
            cached = self._use_cache(stream.work.prefix)
            stream.prefill_left = 0.0 if cached else float(stream.work.prefill_tokens)
            self._batch.append(stream)

    def _use_cache(self, prefix: str) -> bool:
        if not prefix:
            return False
        held = prefix in self._cache
        self._cache.pop(prefix, None)
        self._cache[prefix] = None
        if len(self._cache) > self.speed.cache_prefixes:
            self._cache.popitem(last=False)
        return held

    def _prefill(self) -> None:
        budget = self.speed.prefill_tokens_per_ms * STEP_MS
        for stream in self._batch:
            spent = min(budget, stream.prefill_left)
            stream.prefill_left -= spent
            stream.prefill_spent += spent
            self.prefill_spent += spent
            budget -= spent

    def _decode(self) -> None:
        decoding = [item for item in self._batch if item.prefill_left <= 0]
        if not decoding:
            return
        step_ms = self.speed.token_ms + self.speed.token_ms_per_stream * len(decoding)
        for stream in decoding:
            stream.decoded += STEP_MS / step_ms
            if not stream.began and stream.decoded >= 1:
                stream.began = True
                stream.on_first()
        ended = [item for item in decoding if item.decoded >= item.output_tokens]
        for stream in ended:
            if stream in self._batch:
                self._batch.remove(stream)
                stream.on_end()
