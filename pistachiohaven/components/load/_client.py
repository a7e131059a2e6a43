"""Make one call and judge its answer."""

from dataclasses import dataclass, field

import httpcore
import msgspec
import trio

from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Outcome, TargetKind
from pistachiohaven.helpers import Clock

from ._plan import Call
from .const import PATIENCE_MS

LOST = "lost"
WRONG = "wrong"


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


class _Answer(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    job: str = ""


@dataclass(slots=True, kw_only=True)
class Ending:
    """Hold how one try of a call ended; times are from its start."""

    call: Call
    outcome: str
    reason: str = ""
    first_ms: int | None = None
    gaps_ms: list[int] = field(default_factory=list)


async def make_call(
    pool: httpcore.AsyncConnectionPool, entry: str, call: Call, key: str, clock: Clock
) -> Ending:
    """Make one try of `call` through `entry`."""
    started_ms = clock.now_ms()
    ending = Ending(call=call, outcome=LOST)
    parts: list[bytes] = []
    last_ms = started_ms
    with trio.move_on_after(PATIENCE_MS / MS_PER_S):
        try:
            async with pool.stream(
                "POST",
                f"http://{entry}{_path(call)}",
                headers=_headers(entry, call, key),
                content=_body(call),
            ) as response:
                async for chunk in response.aiter_stream():
                    now_ms = clock.now_ms()
                    if ending.first_ms is None:
                        ending.first_ms = now_ms - started_ms
                    else:
                        ending.gaps_ms.append(now_ms - last_ms)
                    last_ms = now_ms
                    parts.append(chunk)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return ending
        _judge(ending, b"".join(parts))
    return ending


def _path(call: Call) -> str:
    service = call.source.kind is TargetKind.SERVICE
    return "/v1/services/call" if service else "/v1/completions"


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
            "stream": call.stream,
            "user": call.job,
        }
    )


def _judge(ending: Ending, content: bytes) -> None:
    """Compare an answer with what its call must give."""
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
        ending.outcome, ending.reason = detail.outcome, detail.code
        return
    right = _words(events) == _expected(ending.call)
    ending.outcome = Outcome.ANSWERED if right else WRONG


def _words(events: list[bytes]) -> list[str]:
    words: list[str] = []
    for event in events:
        try:
            answer = msgspec.json.decode(event, type=_Answer)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return []
        words += [answer.job] if answer.job else []
        for choice in answer.choices:
            words += (choice.message.content or choice.delta.content).split()
    return words


def _expected(call: Call) -> list[str]:
    if call.source.kind is TargetKind.SERVICE:
        return [call.job]
    return [f"{call.job}-{number}" for number in range(call.answer_tokens)]
