"""An earlier refusal on a kept connection was taken for that of the next request.

Its caller was told that the request had not run, or it ran at a second target.
"""

import functools

import pytest
import trio

from .scripted_targets import (
    Output,
    ScriptedGateway,
    ScriptedStream,
    Step,
    TargetEndsError,
    answer,
    run_scripted,
    signed,
    stream_events,
)
from .stand_ins import encode_response, event_bytes

NOT_RUN = {"pistachiohaven-not-executed": "1"}
EARLIER_ID = {"pistachiohaven-attempt-id": "0000000000000001"}


def refuse(headers: dict[str, str]) -> Output:
    """Refuse a request without running it."""
    return [encode_response(503, b"", {**signed(headers), **NOT_RUN})]


def run_after(first: bytes) -> Step:
    """Return a step that writes `first` before the response to a request that ran."""
    return lambda headers: [first, encode_response(200, b"ran", signed(headers))]


EARLIER_REFUSALS = {
    "with the earlier id": encode_response(503, b"", {**NOT_RUN, **EARLIER_ID}),
    "without an id": encode_response(503, b"", NOT_RUN),
    "for another target": encode_response(421, b"", NOT_RUN),
    "without a header": encode_response(429, b""),
}


async def refuse_once_more(earlier: bytes) -> None:
    gateway = ScriptedGateway(refuse, run_after(earlier), answer(200), targets=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        assert (await gateway.call("/once/x")).status == 503
        await trio.sleep(1)
        assert (await gateway.call("/once/x")).status == 502
        nursery.cancel_scope.cancel()
    assert len(gateway.pool.streams) == 1
    assert len(gateway.pool.arrived_ms) == 2


@pytest.mark.parametrize("earlier", EARLIER_REFUSALS)
def test_earlier_refusal_says_nothing_of_a_request_that_runs(earlier: str) -> None:
    run_scripted(functools.partial(refuse_once_more, EARLIER_REFUSALS[earlier]))


async def refuse_once_more_beside_another_target(earlier: bytes) -> None:
    gateway = ScriptedGateway(refuse, run_after(earlier), answer(200), targets=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        assert (await gateway.call("/once/x")).status == 503
        await trio.sleep(1)
        gateway.add_target("i-9")
        load = gateway.state.scheduler.load("i-9")
        assert load is not None
        for number in range(3):
            job = gateway.make_call("/again/x").job()
            job.request_id = f"other-{number}"
            load.record_sent(job, now_ms=gateway.clock.now_ms())
        assert (await gateway.call("/once/x")).status == 502
        nursery.cancel_scope.cancel()
    assert len(gateway.pool.arrived_ms) == 2


@pytest.mark.parametrize("earlier", EARLIER_REFUSALS)
def test_request_that_runs_is_not_sent_to_a_second_target(earlier: str) -> None:
    run_scripted(
        functools.partial(
            refuse_once_more_beside_another_target, EARLIER_REFUSALS[earlier]
        )
    )


async def refusal_waits_on_the_connection() -> None:
    gateway = ScriptedGateway(refuse, answer(200), targets=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        assert (await gateway.call("/once/x")).status == 503
        gateway.pool.streams[0].output.append(EARLIER_REFUSALS["without an id"])
        await trio.sleep(1)
        assert (await gateway.call("/once/x")).status == 200
        nursery.cancel_scope.cancel()
    assert len(gateway.pool.streams) == 2


def test_connection_with_unread_bytes_is_not_used() -> None:
    run_scripted(refusal_waits_on_the_connection)


async def refuse_twice() -> None:
    gateway = ScriptedGateway(refuse, refuse, answer(200), targets=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        for expected in (503, 503, 200):
            assert (await gateway.call("/once/x")).status == expected
            await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert len(gateway.pool.streams) == 1


def test_refusal_of_the_request_itself_counts_on_a_kept_connection() -> None:
    run_scripted(refuse_twice)


async def answer_twice_at_once(path: str, first: Step) -> None:
    def twice(headers: dict[str, str]) -> Output:
        return [
            b"".join(part for part in first(headers) if isinstance(part, bytes)) * 2
        ]

    gateway = ScriptedGateway(twice, answer(200, b"own"), targets=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        await gateway.call(path)
        await trio.sleep(1)
        recorded = await gateway.call("/once/x")
        assert (recorded.status, recorded.body) == (200, b"own")
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("path", "first"),
    [
        ("/once/x", refuse),
        ("/once/x", answer(200)),
        ("/again/x", answer(404)),
        ("/stream-again/x", stream_events(1, 2)),
    ],
)
def test_second_response_that_was_read_with_the_first_costs_no_caller(
    path: str, first: Step
) -> None:
    """It was taken for the response to the next request on the connection."""
    run_scripted(functools.partial(answer_twice_at_once, path, first))


async def refuse_a_resumed_stream_twice() -> None:
    refusals: dict[ScriptedStream, bytes] = {}

    def refuse_once(headers: dict[str, str]) -> Output:
        (refusal,) = refuse(headers)
        assert isinstance(refusal, bytes)
        assert gateway.pool.last_stream is not None
        refusals[gateway.pool.last_stream] = refusal
        return [refusal]

    def go_on(headers: dict[str, str]) -> Output:
        assert gateway.pool.last_stream is not None
        late = refusals.get(gateway.pool.last_stream)
        return [*([late] if late else []), *stream_events(2, 3)(headers)]

    gateway = ScriptedGateway(
        stream_events(1, end=[TargetEndsError]), refuse_once, go_on, go_on
    )
    await trio.sleep(20)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        recorded = await gateway.call("/stream-again/x")
        nursery.cancel_scope.cancel()
    assert recorded.is_complete
    assert recorded.body == b"".join(event_bytes(number) for number in (1, 2, 3))
    assert len(gateway.pool.arrived_ms) == 3


def test_late_refusal_of_a_stream_does_not_end_its_next_dispatch() -> None:
    """It has the id of the stream, which then ran at two targets."""
    run_scripted(refuse_a_resumed_stream_twice)
