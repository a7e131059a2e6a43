"""Stand-in for a model engine that batches continuously."""

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
    start_response,
)
from pistachiohaven.components.web.const import OK
from pistachiohaven.const import MS_PER_S

from ._settings import EngineSettings
from ._target import TargetStandIn
from .const import BYTES_PER_TOKEN, DEFAULT_MAX_TOKENS, SSE_END


class EngineMessage(msgspec.Struct, frozen=True):
    """Message of a chat."""

    content: str = ""


class EngineCall(msgspec.Struct, frozen=True):
    """Completion request; its runs are counted under the job named by `user`."""

    stream: bool = False
    max_tokens: int = DEFAULT_MAX_TOKENS
    prompt: str = ""
    messages: tuple[EngineMessage, ...] = ()
    user: str = ""

    def text(self) -> str:
        """Return the prompt, or the text of all messages if there is none."""
        return self.prompt or "\n".join(item.content for item in self.messages)


class PrefixCache:
    """Least-recently-used cache of prompt prefixes."""

    def __init__(self, *, size: int) -> None:
        self._size = size
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def use(self, prefix: str) -> bool:
        """Return True if `prefix` was cached, and mark it as most recently used."""
        was_cached = prefix in self._prefixes
        self._prefixes.pop(prefix, None)
        self._prefixes[prefix] = None
        if len(self._prefixes) > self._size:
            self._prefixes.popitem(last=False)
        return was_cached


class EngineStandIn(TargetStandIn):
    """Model engine that prefills one prompt at a time and decodes in a batch.

    It admits calls in arrival order.
    """

    def __init__(self, *, settings: EngineSettings) -> None:
        super().__init__()
        self._settings = settings
        self._batch_limiter = trio.CapacityLimiter(settings.max_batch)
        self._prefill_lock = trio.Lock()
        self._cache = PrefixCache(size=settings.cache_prefixes)

    async def run_call(
        self, request: HttpRequest, body: bytes, receive: Receive, send: Send
    ) -> None:
        """Run one completion and count its prompt tokens as wasted if it breaks."""
        call = msgspec.json.decode(body, type=EngineCall)
        job = call.user or request.headers.get("x-request-id", "")
        self.runs.begin(job)
        prompt_tokens = len(call.text()) // BYTES_PER_TOKEN
        is_complete = False
        try:
            async with self._batch_limiter:
                await self._prefill_prompt(call, prompt_tokens)
                is_complete = await self._send_response(call, job, send)
        finally:
            if not is_complete:
                self.runs.wasted_prefill_tokens += prompt_tokens
        self.runs.end(job)

    async def _prefill_prompt(self, call: EngineCall, prompt_tokens: int) -> None:
        """Sleep for the time that prefill takes.

        A prompt takes none if its first 512 characters are cached.
        """
        is_cached = self._cache.use(call.text()[:512])
        tokens = 0 if is_cached else prompt_tokens
        self.runs.prefill_tokens += tokens
        async with self._prefill_lock:
            await trio.sleep(
                self.fault.slow * tokens / self._settings.prefill_tokens_per_s
            )

    async def _send_response(self, call: EngineCall, job: str, send: Send) -> bool:
        """Send a response token by token; return False if a fault broke it."""
        words: list[str] = []
        if call.stream:
            headers = [(b"content-type", b"text/event-stream")]
            await start_response(send, status=OK, headers=headers)
        for number in range(call.max_tokens):
            if self.fault.break_after_tokens and (
                number >= self.fault.break_after_tokens
            ):
                return False
            await trio.sleep(self._step_ms() / MS_PER_S)
            words.append(f"{job}-{number}")
            if call.stream:
                event = {"choices": [{"delta": {"content": words[-1]}}]}
                await _send_chunk(
                    send, b"data: " + msgspec.json.encode(event) + b"\n\n"
                )
        if call.stream:
            await _send_chunk(send, SSE_END)
            await send({"type": "http.response.body", "body": b""})
        else:
            message = {"role": "assistant", "content": " ".join(words)}
            content = {"choices": [{"message": message}]}
            await send_json(send, status=OK, content=content)
        return True

    def _step_ms(self) -> float:
        """Return the time that one token takes at the current batch size."""
        streams = self._batch_limiter.borrowed_tokens
        step_ms = self._settings.token_ms
        step_ms += self._settings.token_ms_per_stream * streams
        return step_ms * self.fault.slow


async def _send_chunk(send: Send, content: bytes) -> None:
    await send({"type": "http.response.body", "body": content, "more_body": True})


async def run_engine(settings: EngineSettings) -> None:
    """Run the stand-in for a model engine until the process is killed."""
    stand_in = EngineStandIn(settings=settings)
    await serve(stand_in, listen(settings.listen), trio.Event())
