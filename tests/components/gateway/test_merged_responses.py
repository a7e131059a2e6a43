"""A response that was cut short ran into the next one on its connection.

A target may send a response a second time, late, and only its first bytes. The next
response follows them, and its id made one valid response of the two: a failure was
given to the caller as a success, or a request that ran as one that had not.
"""

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

BUDGET_S = 20
"""Time after which a gateway that has just started may repeat requests."""

BODY = b"the response to the request"
PATHS = ("/once/x", "/again/x", "/stream-once/x")
NOT_RUN_STATUSES = (408, 421, 429, 503)
EARLIER = {
    "success": (200, {}),
    "failure": (500, {}),
    "not run": (503, {"pistachiohaven-not-executed": "1"}),
    "busy": (429, {"pistachiohaven-not-executed": "1"}),
    "another target": (421, {}),
}


def encode_earlier(name: str, *, is_id_last: bool) -> bytes:
    """Return the response to the first request of a gateway."""
    status, headers = EARLIER[name]
    attempt = {"pistachiohaven-attempt-id": f"{1:016x}"}
    others = {"server": "a b c", **headers, "date": "Sat, 05 Dec 2026 10:02:54 GMT"}
    fields = {**others, **attempt} if is_id_last else {**attempt, **others}
    lines = [f"HTTP/1.1 {status} Some reason"]
    lines += [f"{field}: {value}" for field, value in fields.items()]
    return "\r\n".join([*lines, "content-length: 0", "", ""]).encode()


def after_part(earlier: bytes, status: int) -> Step:
    """Return a step that runs the request; `earlier` comes before its response."""

    def step(headers: dict[str, str]) -> Output:
        return [earlier, encode_response(status, BODY, signed(headers)), b""]

    return step


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("is_id_last", [False, True])
@pytest.mark.parametrize("name", EARLIER)
@pytest.mark.parametrize("path", PATHS)
def test_part_of_an_earlier_response_does_not_change_the_next_one(
    path: str, name: str, is_id_last: bool, status: int
) -> None:
    earlier = encode_earlier(name, is_id_last=is_id_last)
    first = stream_events(1) if path.startswith("/stream") else answer(200)

    async def act(place: int) -> None:
        gateway = ScriptedGateway(
            first, after_part(earlier[:place], status), answer(500), targets=1
        )
        assert (await gateway.call(path)).is_complete
        gateway.add_target("i-9")
        load = gateway.state.scheduler.load("i-9")
        assert load is not None
        for number in range(3):
            job = gateway.make_call("/again/x").job()
            job.request_id = f"other-{number}"
            load.record_sent(job, now_ms=gateway.clock.now_ms())
        recorded = await gateway.call(path)
        context = (place, earlier[:place], recorded)
        assert recorded.status not in NOT_RUN_STATUSES, context
        if recorded.status == 200 and recorded.is_complete:
            assert (status, recorded.body) == (200, BODY), context
        if "once" in path:
            assert len(gateway.pool.arrived_ms) == 2, context

    async def act_at_all_places() -> None:
        for place in range(1, len(earlier)):
            await act(place)

    run_scripted(act_at_all_places)


def cut_and_repeat(place: int, framing: str) -> Step:
    """Return a step that ends within a body, and then sends the response again."""

    def step(headers: dict[str, str]) -> Output:
        response = encode_response(200, BODY, signed(headers))
        if framing == "no length":
            response = response.replace(b"content-length: %d\r\n" % len(BODY), b"")
        return [response[: len(response) - place], response, b""]

    return step


@pytest.mark.parametrize("framing", ["length", "no length"])
@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
def test_body_is_not_completed_by_a_second_response(path: str, framing: str) -> None:
    """The caller got the start of one body and the head of another response."""

    async def act() -> None:
        for place in range(len(BODY)):
            gateway = ScriptedGateway(cut_and_repeat(place, framing), answer(200))
            await trio.sleep(BUDGET_S)
            recorded = await gateway.call(path)
            expected = {BODY, b"body"} if "again" in path else {BODY, b""}
            assert recorded.body in expected, (place, recorded)

    run_scripted(act)


def test_stream_is_not_continued_by_a_second_response() -> None:
    """Its last event got the head and the first event of another response."""

    def step(headers: dict[str, str]) -> Output:
        (response, _) = stream_events(1, 2, 3)(headers)
        assert isinstance(response, bytes)
        response = response.replace(b"transfer-encoding: chunked\r\n", b"")
        head, _, chunk = response.partition(b"\r\n\r\n")
        events = chunk.partition(b"\r\n")[2].removesuffix(b"\r\n")
        response = head + b"\r\n\r\n" + events
        return [response[:-3], response, b""]

    async def act() -> None:
        gateway = ScriptedGateway(step, stream_events(3, 4))
        await trio.sleep(BUDGET_S)
        recorded = await gateway.call("/stream-again/x")
        assert recorded.is_complete
        assert recorded.body == b"".join(event_bytes(n) for n in (1, 2, 3, 4))
        gateway = ScriptedGateway(step)
        recorded = await gateway.call("/stream-once/x")
        assert recorded.is_broken
        assert recorded.body == b"".join(event_bytes(n) for n in (1, 2))

    run_scripted(act)
