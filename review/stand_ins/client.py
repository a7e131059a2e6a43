"""Stand-in for a client, which retries and resumes as the pages allow."""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .wire import encode_head, read_chunk, read_head

CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.1


@dataclass(kw_only=True)
class Answer:
    """Answer to one attempt; `status` is 0 without one.

    `is_complete` is False if it ended early. `pieces` are the events of a stream as
    (number, data).
    """

    attempt: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    pieces: list[tuple[int, str]] = field(default_factory=list)
    is_complete: bool = False


def new_attempt_id() -> str:
    """Return the id of a new attempt."""
    return secrets.token_hex(8)


async def send(
    address: tuple[str, int],
    *,
    path: str,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"{}",
    attempt: str | None = None,
) -> Answer:
    """Send one attempt on a new connection and return its answer."""
    answer = Answer(attempt=attempt or new_attempt_id())
    fields = {
        "Host": "review.example",
        "Pistachiohaven-Attempt-Id": answer.attempt,
        "Pistachiohaven-Deadline-Ms": str(deadline_ms),
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    writer: asyncio.StreamWriter | None = None
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
    ):
        async with asyncio.timeout(deadline_ms / 1000):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
            writer.write(encode_head(f"POST {path} HTTP/1.1", fields) + body)
            await writer.drain()
            await _read_answer(reader, answer)
    if writer is not None:
        writer.close()
    return answer


async def send_many(
    address: tuple[str, int],
    *,
    path: str,
    deadline_ms: int,
    end: asyncio.Event,
    record: Callable[..., None],
) -> None:
    """Send one small request after the other on a kept connection until `end`.

    The client opens a new connection if the gateway closes the one that it has.
    """
    while not end.is_set():
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError):
            await asyncio.sleep(RECONNECT_S)
            continue
        answer = Answer(attempt="")
        while not end.is_set():
            answer = Answer(attempt=new_attempt_id())
            fields = {
                "Host": "review.example",
                "Pistachiohaven-Attempt-Id": answer.attempt,
                "Pistachiohaven-Deadline-Ms": str(deadline_ms),
                "Content-Length": "2",
            }
            record("sent", attempt=answer.attempt, gateway=address[0])
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout(deadline_ms / 1000):
                    writer.write(encode_head(f"POST {path} HTTP/1.1", fields) + b"{}")
                    await writer.drain()
                    await _read_answer(reader, answer)
            record(
                "answered",
                attempt=answer.attempt,
                status=answer.status,
                complete=answer.is_complete,
            )
            if not answer.is_complete or answer.headers.get("connection") == "close":
                break
        writer.close()


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await read_head(reader)
    if head is None:
        return
    answer.status = int(head.start[1])
    answer.headers = head.headers
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        buffer = b""
        while chunk := await read_chunk(reader):
            answer.body += chunk
            buffer += chunk
            *events, buffer = buffer.split(b"\n\n")
            answer.pieces += [_parse_event(event) for event in events]
    else:
        length = int(head.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_complete = True


def _parse_event(event: bytes) -> tuple[int, str]:
    fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
    return int(fields["id"]), fields["data"]


@dataclass(kw_only=True)
class Stream:
    """Stream of one client over all its attempts; `pieces` are as in `Answer`."""

    name: str
    pieces: list[tuple[int, str]] = field(default_factory=list)
    attempts: list[Answer] = field(default_factory=list)
    is_complete: bool = False


async def read_stream(
    name: str,
    addresses: list[tuple[str, int]],
    *,
    path: str,
    deadline_ms: int,
    most_attempts: int,
    take_up_delay_s: float,
    record: Callable[..., None],
) -> Stream:
    """Read one stream, and take it up again after a broken connection.

    Each attempt goes to the next of `addresses`, with the time that is left. The client
    waits `take_up_delay_s` after a broken connection, and after a 429 or 503 as long as
    `Retry-After` says, up to a third of the time that is left.
    """
    stream = Stream(name=name)
    end = time.monotonic() + deadline_ms / 1000
    for number in range(most_attempts):
        left_s = end - time.monotonic()
        if left_s <= 0:
            break
        resume = {"Last-Event-Id": str(stream.pieces[-1][0])} if stream.pieces else {}
        attempt = new_attempt_id()
        address = addresses[number % len(addresses)]
        record(
            "sent",
            client=name,
            attempt=attempt,
            gateway=address[0],
            path=path,
            resumes_after=resume.get("Last-Event-Id"),
        )
        answer = await send(
            address,
            path=path,
            deadline_ms=int(left_s * 1000),
            headers=resume,
            attempt=attempt,
        )
        stream.attempts.append(answer)
        stream.pieces += answer.pieces
        record(
            "answered",
            client=name,
            attempt=attempt,
            status=answer.status,
            complete=answer.is_complete,
            pieces=[f"{number}: {data}" for number, data in answer.pieces],
        )
        if answer.is_complete and answer.status == 200:  # noqa: PLR2004
            stream.is_complete = True
            break
        pause_s = float(answer.headers.get("retry-after", take_up_delay_s))
        await asyncio.sleep(min(pause_s, max(end - time.monotonic(), 0) / 3))
    return stream
