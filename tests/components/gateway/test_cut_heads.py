"""Table of responses that targets cut, from the caller's side.

A target ends its connection at each byte of the head of its response. What the caller
gets must never look whole.
"""

from collections.abc import Iterator

import pytest

from .scripted_targets import Output, RecordedResponse, ScriptedGateway, Step, signed
from .scripted_targets import run_scripted as run
from .stand_ins import event_bytes

BODY = b"a body of some size"
EVENTS = b"".join(event_bytes(number) for number in (1, 2, 3))
FRAMINGS = ("length", "chunked", "line feeds", "1.0", "interim", "no length")
ONLY_BY_END = ("no length",)
"""Framings in which only the end of the connection marks that of the body."""


def frame(framing: str, headers: dict[str, str], body: bytes) -> tuple[bytes, bytes]:
    """Return head and body of a complete response."""
    version = b"1.0" if framing == "1.0" else b"1.1"
    lines = [b"HTTP/" + version + b" 200 OK", b"content-type: text/event-stream"]
    lines += [f"{name}: {value}".encode() for name, value in signed(headers).items()]
    if framing == "chunked":
        lines.append(b"transfer-encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    elif framing not in ONLY_BY_END:
        lines.append(b"content-length: %d" % len(body))
    line_end = b"\n" if framing == "line feeds" else b"\r\n"
    head = line_end.join([*lines, b"", b""])
    if framing == "interim":
        head = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + head
    return head, body


def cut_at(framing: str, place: int, *, then: bytes = b"") -> Step:
    """Return a step that sends `place` bytes of a head, then `then`, and ends."""

    def step(headers: dict[str, str]) -> Output:
        head, _ = frame(framing, headers, BODY)
        return [part for part in (head[:place], then) if part] + [b""]

    return step


def whole(framing: str, body: bytes) -> Step:
    """Return a step that sends a complete response, and ends."""
    return lambda headers: [*frame(framing, headers, body), b""]


def keep_open(headers: dict[str, str]) -> Output:
    """Send a complete response, and keep the connection open."""
    return [b"".join(frame("length", headers, BODY))]


def places(framing: str) -> Iterator[int]:
    """Return the places within a head, including its end."""
    head, _ = frame(framing, {"pistachiohaven-attempt-id": f"{1:016x}"}, BODY)
    return iter(range(1, len(head) + 1))


def assert_not_whole(recorded: RecordedResponse, *context: object) -> None:
    """Check that the caller can see that a response is not a success."""
    is_success = recorded.status in range(200, 300)
    assert not (is_success and recorded.is_complete), (recorded, context)
    assert recorded.status or recorded.is_broken, context


PATHS = ("/once/x", "/again/x", "/stream-once/x", "/stream-again/x")


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", PATHS)
def test_response_that_is_cut_within_its_head_is_no_success(
    path: str, framing: str
) -> None:
    async def act() -> None:
        for place in places(framing):
            cut = cut_at(framing, place)
            gateway = ScriptedGateway(cut, cut, cut, cut)
            assert_not_whole(await gateway.call(path), place)

    run(act)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", PATHS)
def test_response_on_a_kept_connection_that_is_cut_is_no_success(
    path: str, framing: str
) -> None:
    """The response before it on the connection was complete."""

    async def act() -> None:
        for place in places(framing):
            cut = cut_at(framing, place)
            gateway = ScriptedGateway(keep_open, cut, cut, cut, cut, targets=1)
            assert (await gateway.call("/again/x")).body == BODY
            assert_not_whole(await gateway.call(path), place)
            assert len(gateway.pool.streams) <= len(gateway.pool.sent_headers)

    run(act)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_that_goes_on_at_a_target_that_cuts_its_head_is_not_complete(
    framing: str,
) -> None:
    """The events of the first target have been sent to the caller."""

    async def act() -> None:
        for place in places(framing):

            def begin(headers: dict[str, str]) -> Output:
                head, _ = frame("chunked", headers, EVENTS)
                event = event_bytes(1)
                return [head + b"%x\r\n%b\r\n" % (len(event), event), b""]

            cut = cut_at(framing, place)
            gateway = ScriptedGateway(begin, cut, cut, cut, cut)
            recorded = await gateway.call("/stream-again/x")
            assert recorded.body == event_bytes(1)
            assert_not_whole(recorded, place)

    run(act)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("then", [b"\r\n\r\n", b"\n\n", b"\0\0", b"HTTP/1.1 200"])
def test_other_bytes_after_a_cut_head_are_no_success(framing: str, then: bytes) -> None:
    """They may end the head before the line that says how long the body is.

    If they are a body, too, the response is a whole one of unknown length.
    """

    async def act() -> None:
        for place in places(framing):
            head, _ = frame(framing, {"pistachiohaven-attempt-id": f"{1:016x}"}, BODY)
            if has_body_of_unknown_length(head[:place] + then):
                continue
            cut = cut_at(framing, place, then=then)
            gateway = ScriptedGateway(cut, cut, cut, cut)
            assert_not_whole(await gateway.call("/again/x"), place)

    run(act)


def has_body_of_unknown_length(response: bytes) -> bool:
    """Return True for a complete head that says no length, and bytes after it."""
    response = response.removeprefix(b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n")
    head, _, body = response.replace(b"\r\n", b"\n").partition(b"\n\n")
    names = {line.partition(b":")[0] for line in head.split(b"\n")}
    return bool(body) and not names & {b"content-length", b"transfer-encoding"}


@pytest.mark.parametrize("status", [204, 205])
def test_response_that_can_not_have_a_body_is_whole_without_one(status: int) -> None:
    def respond(headers: dict[str, str]) -> Output:
        head, _ = frame("no length", headers, b"")
        return [head.replace(b"200 OK", b"%d None" % status), b""]

    async def act() -> None:
        recorded = await ScriptedGateway(respond).call("/once/x")
        assert (recorded.status, recorded.is_complete) == (status, True)

    run(act)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_whole_responses_of_all_framings_are_successes(framing: str) -> None:
    async def act() -> None:
        plain = await ScriptedGateway(whole(framing, BODY)).call("/once/x")
        assert (plain.status, plain.body, plain.is_complete) == (200, BODY, True)
        stream = await ScriptedGateway(whole(framing, EVENTS)).call("/stream-once/x")
        assert (stream.status, stream.body, stream.is_complete) == (200, EVENTS, True)

    run(act)
