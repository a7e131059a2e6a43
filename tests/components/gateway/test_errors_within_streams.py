"""An error of the next target was sent in the middle of a broken stream."""

import functools

import httpcore
import pytest
import trio

from .scripted_targets import (
    Output,
    ScriptedGateway,
    Step,
    answer,
    run_scripted,
    signed,
    stream_events,
)
from .stand_ins import encode_response, event_bytes

EVENTS = b"".join(event_bytes(number) for number in (1, 2))
break_off = stream_events(1, 2, end=[httpcore.ReadError])


def unsigned_stream(headers: dict[str, str]) -> Output:
    """Stream an event without the signature of a target."""
    head = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"
    event = event_bytes(3)
    return [head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(event), event)]


def other_content(headers: dict[str, str]) -> Output:
    """Respond with a signed body that is no stream of events."""
    fields = {**signed(headers), "content-type": "application/json"}
    return [encode_response(200, b'{"error":"no"}\n\n', fields)]


def no_content(headers: dict[str, str]) -> Output:
    """Respond that there is no content."""
    return [encode_response(204, b"", signed(headers))]


def unframed_end(headers: dict[str, str]) -> Output:
    """Begin a stream without a known end, and end the connection."""
    lines = ["HTTP/1.1 200 X", "content-type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in signed(headers).items()]
    return ["\r\n".join([*lines, "", ""]).encode(), b""]


NEXT_RESPONSES: dict[str, Step] = {
    "bad request": answer(400, b"bad"),
    "not found": answer(404, b"not found"),
    "redirection": answer(302, b"elsewhere"),
    "error": answer(500, b"error"),
    "refusal": answer(429, b"later"),
    "without a signature": unsigned_stream,
    "other content": other_content,
    "no content": no_content,
    "without events or an end": unframed_end,
}


async def resume(step: Step) -> None:
    gateway = ScriptedGateway(break_off, step, targets=2)
    await trio.sleep(gateway.state.settings.retry_window_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        response = await gateway.call("/stream-again/x")
        nursery.cancel_scope.cancel()
    assert len(gateway.pool.arrived_ms) == 2
    assert response.status == 200
    assert response.body == EVENTS
    assert response.is_broken
    assert not response.is_complete


@pytest.mark.parametrize("name", NEXT_RESPONSES)
def test_stream_holds_events_only_and_does_not_look_complete(name: str) -> None:
    run_scripted(functools.partial(resume, NEXT_RESPONSES[name]))


async def resume_to_the_end(step: Step, expected: bytes) -> None:
    gateway = ScriptedGateway(break_off, step, targets=2)
    await trio.sleep(gateway.state.settings.retry_window_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        response = await gateway.call("/stream-again/x")
        nursery.cancel_scope.cancel()
    assert response.is_complete
    assert response.body == EVENTS + expected


@pytest.mark.parametrize("numbers", [(3, 4), (2, 3), ()])
def test_stream_goes_on_at_the_next_target(numbers: tuple[int, ...]) -> None:
    """Without events, the stream had broken off after its last one."""
    expected = b"".join(event_bytes(number) for number in numbers if number > 2)
    step = stream_events(*numbers) if numbers else empty_stream
    run_scripted(functools.partial(resume_to_the_end, step, expected))


def empty_stream(headers: dict[str, str]) -> Output:
    """End a stream without events."""
    lines = ["HTTP/1.1 200 X", "transfer-encoding: chunked"]
    lines.append("content-type: text/event-stream")
    lines += [f"{name}: {value}" for name, value in signed(headers).items()]
    return ["\r\n".join([*lines, "", ""]).encode() + b"0\r\n\r\n"]
