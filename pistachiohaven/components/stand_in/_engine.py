"""Stand in for a model engine that batches continuously."""

from collections import OrderedDict

import msgspec
import trio

from pistachiohaven.components.web import (
    HttpRequest,
    Receive,
    Send,
    listen,
    send_json,
    serve,
    start_stream,
)
from pistachiohaven.components.web.const import OK
from pistachiohaven.const import MS_PER_S

from ._settings import EngineSettings
from ._target import TargetStandIn
from .const import BYTES_PER_TOKEN, DEFAULT_MAX_TOKENS, SSE_END


class EngineMessage(msgspec.Struct, frozen=True):
    """Hold one message of a chat."""

    content: str = ""


class EngineCall(msgspec.Struct, frozen=True):
    """Hold a completion request; `user` names the job that is counted."""

    stream: bool = False
    max_tokens: int = DEFAULT_MAX_TOKENS
    prompt: str = ""
    messages: tuple[EngineMessage, ...] = ()
    user: str = ""

    def text(self) -> str:
        """Return the prompt as one text."""
        return self.prompt or "\n".join(item.content for item in self.messages)


class PrefixCache:
    """Remember the prompt prefixes used last."""

    def __init__(self, *, size: int) -> None:
        self._size = size
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def use(self, prefix: str) -> bool:
        """Return True if `prefix` was held, and hold it from now on."""
        held = prefix in self._prefixes
        self._prefixes.pop(prefix, None)
        self._prefixes[prefix] = None
        if len(self._prefixes) > self._size:
            self._prefixes.popitem(last=False)
        return held


class EngineStandIn(TargetStandIn):
    """Admit in arrival order, prefill one prompt at a time, decode in a batch."""

    def __init__(self, *, settings: EngineSettings) -> None:
        super().__init__()
        self._settings = settings
        self._batch = trio.CapacityLimiter(settings.max_batch)
        self._prefill = trio.Lock()
        self._cache = PrefixCache(size=settings.cache_prefixes)

    async def run_call(
        self, request: HttpRequest, body: bytes, receive: Receive, send: Send
    ) -> None:
        """Run one completion."""
        wanted = msgspec.json.decode(body, type=EngineCall)
        job = wanted.user or request.headers.get("x-request-id", "")
        self.runs.begin(job)
        prompt_tokens = len(wanted.text()) // BYTES_PER_TOKEN
        whole = False
        try:
            async with self._batch:
                await self._read_prompt(wanted, prompt_tokens)
                whole = await self._write_answer(wanted, job, send)
        finally:
            if not whole:
                self.runs.wasted_prefill_tokens += prompt_tokens
        self.runs.end(job)

    async def _read_prompt(self, wanted: EngineCall, prompt_tokens: int) -> None:
        """Prefill what the cache does not hold."""
        cached = self._cache.use(wanted.text()[:512])
        tokens = 0 if cached else prompt_tokens
        self.runs.prefill_tokens += tokens
        async with self._prefill:
            await trio.sleep(
                self.fault.slow * tokens / self._settings.prefill_tokens_per_s
            )

    async def _write_answer(self, wanted: EngineCall, job: str, send: Send) -> bool:
        """Decode token by token; return False if a fault broke the stream."""
        words: list[str] = []
        if wanted.stream:
            kind = [(b"content-type", b"text/event-stream")]
            await start_stream(send, status=OK, headers=kind)
        for number in range(wanted.max_tokens):
            if self.fault.break_after_tokens and (
                number >= self.fault.break_after_tokens
            ):
                return False
            await trio.sleep(self._step_ms() / MS_PER_S)
            words.append(f"{job}-{number}")
            if wanted.stream:
                event = {"choices": [{"delta": {"content": words[-1]}}]}
                await _send_part(send, b"data: " + msgspec.json.encode(event) + b"\n\n")
        if wanted.stream:
            await _send_part(send, SSE_END)
            await send({"type": "http.response.body", "body": b""})
        else:
            message = {"role": "assistant", "content": " ".join(words)}
            content = {"choices": [{"message": message}]}
            await send_json(send, status=OK, content=content)
        return True

    def _step_ms(self) -> float:
        """Return the time one token takes with the streams running now."""
        streams = self._batch.borrowed_tokens
        step_ms = self._settings.token_ms
        step_ms += self._settings.token_ms_per_stream * streams
        return step_ms * self.fault.slow


async def _send_part(send: Send, content: bytes) -> None:
    await send({"type": "http.response.body", "body": content, "more_body": True})


async def run_engine(settings: EngineSettings) -> None:
    """Serve as a model engine until killed."""
    stand_in = EngineStandIn(settings=settings)
    await serve(stand_in, listen(settings.listen), trio.Event())
