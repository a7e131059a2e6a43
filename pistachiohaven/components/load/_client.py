"""HTTP client of one call, and the check of its response."""

from dataclasses import dataclass, field

import httpcore
import msgspec
import trio

from pistachiohaven.components.web import iter_body
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Outcome, TargetKind
from pistachiohaven.helpers import Clock

from ._plan import Call
from .const import CALL_TIMEOUT_MS

LOST = "lost"
"""Outcome of a try that got no complete response."""

WRONG = "wrong"
"""Outcome of a try whose response differs from the expected one."""


class _ErrorDetail(msgspec.Struct, frozen=True):
    code: str
    outcome: str


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorDetail


class _Delta(msgspec.Struct, frozen=True):
    content: str = ""


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    message: _Delta = _Delta()


class _Response(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    job: str = ""


@dataclass(slots=True, kw_only=True)
class CallResult:
    """Result of one try of a call.

    `outcome` is the value of an `Outcome`, `LOST` or `WRONG`, and `reason` the error
    code of the response. `first_chunk_ms` is the time from the start of the try to the
    first chunk of the response, and `gaps_ms` are the times between chunks.
    """

    call: Call
    outcome: str
    reason: str = ""
    first_chunk_ms: int | None = None
    gaps_ms: list[int] = field(default_factory=list)


async def make_call(
    pool: httpcore.AsyncConnectionPool, entry: str, call: Call, key: str, clock: Clock
) -> CallResult:
    """Make one try of `call` through `entry` and return its result."""
    started_ms = clock.now_ms()
    call_result = CallResult(call=call, outcome=LOST)
    parts: list[bytes] = []
    last_ms = started_ms
    with trio.move_on_after(CALL_TIMEOUT_MS / MS_PER_S):
        try:
            async with pool.stream(
                "POST",
                f"http://{entry}{_path(call)}",
                headers=_headers(entry, call, key),
                content=_body(call),
            ) as response:
                async for chunk in iter_body(response):
                    now_ms = clock.now_ms()
                    if call_result.first_chunk_ms is None:
                        call_result.first_chunk_ms = now_ms - started_ms
                    else:
                        call_result.gaps_ms.append(now_ms - last_ms)
                    last_ms = now_ms
                    parts.append(chunk)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return call_result
        _check_response(call_result, b"".join(parts))
    return call_result


def _path(call: Call) -> str:
    is_service = call.source.kind is TargetKind.SERVICE
    return "/v1/services/call" if is_service else "/v1/completions"


def _headers(entry: str, call: Call, key: str) -> list[tuple[str, str]]:
    headers = [
        ("host", entry),
        ("x-organisation", call.source.organisation),
        ("x-application", call.source.application),
        ("x-tier", call.source.tier),
        ("content-length", str(len(_body(call)))),
    ]
    if call.source.kind is TargetKind.SERVICE:
        headers.append(("x-non-idempotent", "true"))
    if key:
        headers.append(("idempotency-key", key))
    return headers


def _body(call: Call) -> bytes:
    if call.source.kind is TargetKind.SERVICE:
        return msgspec.json.encode({"job": call.job})
    return msgspec.json.encode(
        {
            "prompt": call.prompt,
            "max_tokens": call.answer_tokens,
            "stream": call.is_streamed,
            "user": call.job,
        }
    )


def _check_response(call_result: CallResult, content: bytes) -> None:
    """Set the outcome of `call_result` from the content of its response."""
    events = [
        line.removeprefix(b"data: ")
        for line in content.splitlines()
        if line.startswith((b"data: {", b"{"))
    ]
    for event in events:
        try:
            detail = msgspec.json.decode(event, type=_ErrorBody).error
        except (msgspec.DecodeError, msgspec.ValidationError):
            continue
        call_result.outcome, call_result.reason = detail.outcome, detail.code
        return
    is_correct = _words(events) == _expected_words(call_result.call)
    call_result.outcome = Outcome.ANSWERED if is_correct else WRONG


def _words(events: list[bytes]) -> list[str]:
    words: list[str] = []
    for event in events:
        try:
            response = msgspec.json.decode(event, type=_Response)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return []
        words += [response.job] if response.job else []
        for choice in response.choices:
            words += (choice.message.content or choice.delta.content).split()
    return words


def _expected_words(call: Call) -> list[str]:
    if call.source.kind is TargetKind.SERVICE:
        return [call.job]
    return [f"{call.job}-{number}" for number in range(call.answer_tokens)]
