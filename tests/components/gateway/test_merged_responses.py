"""A response that was cut short ran into the next one on its connection.

A target may send a response a second time, late, and only its first bytes. The next
response follows them, and its id made one valid response of the two: a failure was
given to the caller as a success, or a request that ran as one that had not.
"""

import pytest

from .scripted_targets import (
    Output,
    ScriptedGateway,
    Step,
    answer,
    run_scripted,
    signed,
    stream_events,
)
from .stand_ins import encode_response

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
